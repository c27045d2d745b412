#ifndef PROXY_LOCAL_H
#define PROXY_LOCAL_H

#include <primroselead/proxy.h>

/** Answers a request for a path of this VM itself. */
enum MHD_Result local_respond(struct proxy_thread *t,
			      struct MHD_Connection *conn, const char *url,
			      const char *method);

#endif
