#include <apr_general.h>
#include <primroselead/config.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The parser accepts any service file or reports faults that can be printed. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct prl_faults faults;
	struct prl_service service;
	struct prl_error err;
	apr_pool_t *pool;
	char line[512];
	char *text = malloc(size + 1);

	apr_initialize();
	if (!text || apr_pool_create(&pool, NULL))
		abort();
	memcpy(text, data, size);
	text[size] = 0;
	memset(&faults, 0, sizeof(faults));
	if (config_service_parse(text, size, &service, pool, &faults, &err) ==
		    PRL_E_CONFIG &&
	    !faults.n)
		abort();
	for (int i = 0; i < faults.n; i++)
		prl_fault_format(&faults, i, line, sizeof(line));
	apr_pool_destroy(pool);
	free(text);
	return 0;
}
