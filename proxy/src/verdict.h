#ifndef PROXY_VERDICT_H
#define PROXY_VERDICT_H

#include <primroselead/fleet.h>

/** What the headers of an upstream's answer mean. */
enum verdict {
	/** The answer is for the caller. */
	VERDICT_PASS,
	/** A failure of the upstream that may be passed on. */
	VERDICT_FAILED,
	/** A failure whose status would promise that nothing ran, although the
	 * upstream does not say so. */
	VERDICT_AMBIGUOUS,
	/** The upstream says that it did not run the request. */
	VERDICT_REFUSED,
	/** Not an answer to this request. */
	VERDICT_INVALID,
};

/** Judges an answer to the request with an id. */
enum verdict verdict_for_response(const struct fleet_response_meta *a,
				  int status, const char *id);

#endif
