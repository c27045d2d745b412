#ifndef PROXY_UPLOAD_H
#define PROXY_UPLOAD_H

#include "request.h"

/** Takes bytes of the body; sets "len" to the number not taken. */
enum MHD_Result upload_receive(struct proxy_request *r, const char *data,
			       size_t *len);

/** Handles the end of the body; called again after each resume. */
enum MHD_Result upload_end(struct proxy_request *r);

/** Sends an answer that has been decided for a while, or more of it; called
 * from time to time. */
void upload_tick(struct proxy_request *r, int64_t now);

/** Sends an answer that has been decided, at once. */
void upload_answer_now(struct proxy_request *r);

#endif
