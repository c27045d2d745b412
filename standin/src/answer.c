#include "answer.h"
#include <stdlib.h>
#include <string.h>

enum MHD_Result send_response_with_header(struct MHD_Connection *conn,
					  unsigned int status, const char *body,
					  size_t len, const char *name,
					  const char *value)
{
	struct MHD_Response *r;
	enum MHD_Result rc;

	r = MHD_create_response_from_buffer(len, (void *)body,
					    MHD_RESPMEM_MUST_COPY);
	if (!r)
		return MHD_NO;
	if (name)
		MHD_add_response_header(r, name, value);
	rc = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return rc;
}

enum MHD_Result send_response(struct MHD_Connection *conn, unsigned int status,
			      const char *body, size_t len)
{
	return send_response_with_header(conn, status, body, len, NULL, NULL);
}

int64_t query_argument_int(struct MHD_Connection *conn, const char *name,
			   int64_t default_value)
{
	const char *v =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return v ? strtoll(v, NULL, 10) : default_value;
}

const char *command_option(int argc, char **argv, const char *name,
			   const char *default_value)
{
	size_t n = strlen(name);

	for (int i = 1; i < argc; i++)
		if (!strncmp(argv[i], "--", 2) &&
		    !strncmp(argv[i] + 2, name, n) && argv[i][n + 2] == '=')
			return argv[i] + n + 3;
	return default_value;
}
