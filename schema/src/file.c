#include <apr_file_io.h>
#include <primroselead/schema.h>

enum prl_code prl_file_read(const char *path, size_t max, apr_pool_t *pool,
			    char **text, size_t *len, struct prl_error *err)
{
	apr_file_t *file;
	apr_finfo_t info;
	apr_status_t st;
	char why[120];

	st = apr_file_open(&file, path, APR_READ, 0, pool);
	if (!st)
		st = apr_file_info_get(&info, APR_FINFO_SIZE, file);
	if (st)
		return prl_error_set(err, PRL_E_IO, "file \"%s\": %s", path,
				     apr_strerror(st, why, sizeof(why)));
	if ((size_t)info.size > max) {
		apr_file_close(file);
		return prl_error_set(
			err, PRL_E_LIMIT,
			"file \"%s\" is too large: %lld bytes, the "
			"maximum is %zu",
			path, (long long)info.size, max);
	}
	*text = apr_palloc(pool, (size_t)info.size + 1);
	if (!*text) {
		apr_file_close(file);
		return prl_error_set(err, PRL_E_MEMORY,
				     "file \"%s\": out of memory", path);
	}
	st = apr_file_read_full(file, *text, (size_t)info.size, len);
	apr_file_close(file);
	if (st && !APR_STATUS_IS_EOF(st))
		return prl_error_set(err, PRL_E_IO, "file \"%s\": %s", path,
				     apr_strerror(st, why, sizeof(why)));
	(*text)[*len] = 0;
	return PRL_OK;
}
