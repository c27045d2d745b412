#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <microhttpd.h>
#include <stddef.h>
#include <stdint.h>

/** Queues an answer with a copied body. */
enum MHD_Result send_response(struct MHD_Connection *conn, unsigned int status,
			      const char *body, size_t len);

/** As answer_bytes, with one more header. */
enum MHD_Result send_response_with_header(struct MHD_Connection *conn,
					  unsigned int status, const char *body,
					  size_t len, const char *name,
					  const char *value);

/** Query argument as a number; the default if it is absent. */
int64_t query_argument_int(struct MHD_Connection *conn, const char *name,
			   int64_t default_value);

/** Value of a command line option "--name=value"; the default if absent.
 */
const char *command_option(int argc, char **argv, const char *name,
			   const char *default_value);

#endif
