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

/** Classifies a response to the request with this id. */
enum verdict verdict_for_response(const struct fleet_response_meta *a,
				  int status, const char *id);

#endif
