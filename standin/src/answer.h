#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <microhttpd.h>
#include <stddef.h>
#include <stdint.h>

/** Queues a response with a copy of the body. Returns MHD_NO on failure, on
 * which libmicrohttpd closes the connection. */
enum MHD_Result send_response(struct MHD_Connection *conn, unsigned int status,
			      const char *body, size_t len);

/** As send_response, with one more header unless name is NULL. */
enum MHD_Result send_response_with_header(struct MHD_Connection *conn,
					  unsigned int status, const char *body,
					  size_t len, const char *name,
					  const char *value);

/** Decimal value of a query argument; the default if it is absent. */
int64_t query_argument_int(struct MHD_Connection *conn, const char *name,
			   int64_t default_value);

/** Value of the command line option "--name=value", or the default. */
const char *command_option(int argc, char **argv, const char *name,
			   const char *default_value);

#endif
