#ifndef PROXY_VERDICT_H
#define PROXY_VERDICT_H

#include <primroselead/fleet.h>

/** Classification of an upstream's response by its status and headers. */
enum verdict {
	/** The head is not complete, so that nothing is known. */
	VERDICT_NONE,
	/** Valid; to be passed on. */
	VERDICT_PASS,
	/** Server error that may be passed on if it is not retried. */
	VERDICT_FAILED,
	/** Its status would tell the caller that the request did not run, but
	 * the upstream does not confirm that. Must not be passed on. */
	VERDICT_AMBIGUOUS,
	/** The upstream states that it did not run the request. */
	VERDICT_REFUSED,
	/** Not a valid response to this request, for example a late one to
	 * another request. */
	VERDICT_INVALID,
};

/** Whether a response names the request with this id. A delayed or duplicated
 * response to an earlier request may arrive in place of this one's, so one that
 * names none may be any request's. */
int verdict_is_own_response(const struct fleet_response_meta *a,
			    const char *id);

/** Classifies a response to the request with this id. */
enum verdict verdict_for_response(const struct fleet_response_meta *a,
				  int status, const char *id);

#endif
