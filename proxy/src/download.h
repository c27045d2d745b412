#ifndef PROXY_DOWNLOAD_H
#define PROXY_DOWNLOAD_H

#include "request.h"

/** Makes a transfer deliver its response to the request: heads are judged, and
 * the body goes to the buffer, within bounds on the bytes of each. */
void download_set_options(struct proxy_request *r);

#endif
