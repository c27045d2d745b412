/* Baseline for benchmarks: the HTTP library alone, which responds to every
 * request with a fixed body. */
#include "answer.h"
#include <apr_general.h>
#include <primroselead/serve.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct loop loop;
static struct serve serve;
static char body[65536];
static size_t body_size;

static enum MHD_Result handle_request(void *ctx, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *len, void **state)
{
	static char seen;

	(void)ctx;
	(void)url;
	(void)method;
	(void)version;
	(void)data;
	if (!*state) {
		*state = &seen;
		return MHD_YES;
	}
	if (*len) {
		*len = 0;
		return MHD_YES;
	}
	return send_response_with_header(conn, MHD_HTTP_OK, body, body_size,
					 "Content-Type", "application/json");
}

int main(int argc, char **argv)
{
	struct serve_options o = {
		.address =
			command_option(argc, argv, "listen", "127.0.0.1:9900"),
		.connections_max = 4096,
		.idle_timeout_s = 60,
		.connection_memory_bytes = 12288,
		.handle = handle_request,
	};
	struct prl_error err;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	body_size =
		strtoul(command_option(argc, argv, "size", "256"), NULL, 10);
	if (body_size > sizeof(body))
		return 1;
	memset(body, 'x', sizeof(body));
	if (loop_init(&loop, &err) || serve_init(&serve, &loop, &o, &err)) {
		fprintf(stderr, "bare server: %s\n", err.text);
		return 1;
	}
	loop_run(&loop);
	return 0;
}
