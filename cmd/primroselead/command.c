#include "command.h"
#include <apr_strings.h>
#include <argtable2.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int command_report_error(const struct prl_error *err)
{
	fprintf(stderr, "primroselead: %s (%s)\n", err->text,
		prl_code_name(err->code));
	return prl_code_exit_status(err->code);
}

int command_parse_options(int argc, char **argv, void **table,
			  const char *description, int *exit_status)
{
	struct arg_lit *help = table[0];
	struct arg_end *end;
	int last = 0;
	int faults;

	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	end = table[last];
	faults = arg_parse(argc, argv, table);
	*exit_status = 0;
	if (!faults && !help->count)
		return 1;
	if (!help->count) {
		arg_print_errors(stderr, end, argv[0]);
		*exit_status = prl_code_exit_status(PRL_E_USAGE);
	}
	printf("Usage: primroselead %s", argv[0]);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n", description);
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	return 0;
}

enum prl_code command_init(struct command *c, const char *address)
{
	const char *from_env = getenv(STORE_ADDRESS_ENV);

	if (!address)
		address = from_env ? from_env : DEFAULT_STORE_ADDRESS;
	if (apr_pool_create(&c->pool, NULL))
		return prl_error_set(&c->err, PRL_E_MEMORY,
				     "cannot allocate a memory pool");
	if (loop_init(&c->loop, &c->err) ||
	    fetch_pool_init(&c->fetches, &c->loop, &c->err))
		return c->err.code;
	store_init(&c->store, &c->fetches, address);
	return PRL_OK;
}

void command_finish(struct command *c)
{
	fetch_pool_finish(&c->fetches);
	loop_finish(&c->loop);
	apr_pool_destroy(c->pool);
}

enum prl_code command_read_object(struct command *c, const char *key,
				  struct store_call *call)
{
	memset(call, 0, sizeof(*call));
	call->op = STORE_GET;
	snprintf(call->key, sizeof(call->key), "%s", key);
	call->deadline_ms = prl_now_ms() + CALL_TIMEOUT_MS;
	if (store_call_wait(&c->store, &c->loop, call))
		c->err = call->err;
	return call->err.code;
}

/* Response body received so far; text is NUL-terminated. */
struct page {
	apr_pool_t *pool;
	char *text;
	size_t len;
};

/* Write callback of libcurl; returning fewer bytes than given ends the
 * transfer. */
static size_t append_page(char *data, size_t size, size_t n, void *ctx)
{
	struct page *p = ctx;
	char *grown = apr_palloc(p->pool, p->len + size * n + 1);

	if (!grown)
		return 0;
	if (p->len)
		memcpy(grown, p->text, p->len);
	memcpy(grown + p->len, data, size * n);
	p->text = grown;
	p->len += size * n;
	p->text[p->len] = 0;
	return size * n;
}

enum prl_code command_fetch_page(struct command *c, const char *address,
				 const char *path, char **text)
{
	struct page page = {.pool = c->pool, .text = ""};
	CURL *easy = curl_easy_init();
	char url[512];
	CURLcode rc;
	long status = 0;

	if (!easy)
		return prl_error_set(&c->err, PRL_E_MEMORY,
				     "cannot create an HTTP client");
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_page);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &page);
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	*text = page.text;
	if (rc)
		return prl_error_set(&c->err, PRL_E_IO,
				     "request to VM at \"%s\" failed: %s",
				     address, curl_easy_strerror(rc));
	if (status != 200)
		return prl_error_set(
			&c->err, PRL_E_NOT_READY,
			"VM at \"%s\" answered with HTTP status %ld: %.200s",
			address, status, page.text);
	return PRL_OK;
}

static enum prl_code read_service_file(struct command *c, const char *path,
				       struct service_file *out)
{
	static struct prl_faults faults;
	enum prl_code rc;
	char *text;
	size_t len;

	memset(&faults, 0, sizeof(faults));
	snprintf(faults.file, sizeof(faults.file), "%s", path);
	out->path = path;
	rc = prl_file_read(path, CONFIG_FILE_MAX, c->pool, &text, &len,
			   &c->err);
	if (rc)
		return rc;
	out->text = text;
	rc = config_service_parse(text, len, &out->service, c->pool, &faults,
				  &c->err);
	prl_faults_print(&faults, stderr);
	return rc;
}

enum prl_code command_read_services(struct command *c, const char *const *paths,
				    int n, struct service_file *out)
{
	enum prl_code last_error = PRL_OK;

	/* Continue after an error: one run reports the faults of all files. */
	for (int i = 0; i < n; i++) {
		enum prl_code rc = read_service_file(c, paths[i], &out[i]);

		if (rc && rc != PRL_E_CONFIG)
			command_report_error(&c->err);
		if (rc)
			last_error = rc;
	}
	return last_error;
}
