#include "command.h"
#include <apr_strings.h>
#include <argtable2.h>
#include <primroselead/clock.h>
#include <primroselead/receiver.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum size of a page in bytes, its head included. */
#define PAGE_MAX_BYTES (64 << 20)

#define HTTP_OK 200

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

/* Returns CURLE_OK if the page is whole. VMs give the length of their pages;
 * one without a length may have been cut. */
static CURLcode receive_page(const char *address, const char *path,
			     struct receiver *answer)
{
	CURL *easy = curl_easy_init();
	char url[512];
	CURLcode rc;

	if (!easy)
		return CURLE_OUT_OF_MEMORY;
	snprintf(url, sizeof(url), "http://%s%s", address, path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	receiver_attach(answer, easy);
	rc = receiver_result(answer, curl_easy_perform(easy));
	curl_easy_cleanup(easy);
	if (!rc && answer->head.framing == RESPONSE_UNTIL_CLOSE)
		return CURLE_PARTIAL_FILE;
	return rc;
}

static enum prl_code read_page(struct command *c, const char *address,
			       const struct receiver *answer, CURLcode result,
			       char **text)
{
	*text = apr_pstrdup(c->pool, answer->body ? answer->body : "");
	if (!*text)
		return prl_error_set(&c->err, PRL_E_MEMORY,
				     "page of VM at \"%s\": out of memory",
				     address);
	if (result)
		return prl_error_set(&c->err, PRL_E_IO,
				     "request to VM at \"%s\" failed: %s",
				     address, curl_easy_strerror(result));
	if (answer->head.status != HTTP_OK)
		return prl_error_set(
			&c->err, PRL_E_NOT_READY,
			"VM at \"%s\" answered with HTTP status %d: %.200s",
			address, answer->head.status, *text);
	return PRL_OK;
}

enum prl_code command_fetch_page(struct command *c, const char *address,
				 const char *path, char **text)
{
	struct receiver answer;
	enum prl_code rc;

	receiver_init(&answer, PAGE_MAX_BYTES);
	rc = read_page(c, address, &answer,
		       receive_page(address, path, &answer), text);
	receiver_finish(&answer);
	return rc;
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
