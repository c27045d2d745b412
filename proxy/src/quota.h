#ifndef PROXY_QUOTA_H
#define PROXY_QUOTA_H

#include "request.h"

/**
 * Counts a request against the quota of its workspace. Returns 1; or 0 after
 * failing it with 429 if the quota is used up. A request that another VM
 * relayed was counted there. One that was held until its body came is counted
 * when it starts; what it took before is given back.
 */
int quota_admit(struct proxy_request *r);

/** Gives back what a request took, if it has not run. */
void quota_finish(struct proxy_request *r);

/** Returns the retry budget of the request's service. */
struct shared_limit *quota_retry_budget(struct proxy_request *r);

/** Takes a token from a limit. Returns 1, or 0 if there is none, or if the
 * control thread has not updated the limits for too long. */
int quota_take(struct proxy_request *r, struct shared_limit *l);

#endif
