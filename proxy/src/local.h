#ifndef PROXY_LOCAL_H
#define PROXY_LOCAL_H

#include <primroselead/proxy.h>

/** Responds to a request for one of this VM's own pages: look-up, health,
 * metrics, status. */
enum MHD_Result local_respond(struct proxy_thread *t,
			      struct MHD_Connection *conn, const char *url,
			      const char *method);

#endif
