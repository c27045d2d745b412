#include "verdict.h"
#include <microhttpd.h>
#include <string.h>

/* Whether a caller takes the status as a statement that the request did not
 * run.
 */
static int promises_not_run(int status)
{
	return status == MHD_HTTP_REQUEST_TIMEOUT ||
	       status == MHD_HTTP_MISDIRECTED_REQUEST ||
	       status == MHD_HTTP_TOO_MANY_REQUESTS ||
	       status == MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* Whether the upstream states that it did not run the request. Beside any other
 * status the statement contradicts it. */
static int states_not_run(const struct fleet_response_meta *a, int status)
{
	if (status == MHD_HTTP_MISDIRECTED_REQUEST)
		return 1;
	return a->not_run &&
	       (promises_not_run(status) || status == MHD_HTTP_BAD_REQUEST);
}

static int is_success(int status)
{
	return status >= 200 && status < 300;
}

int verdict_is_own_response(const struct fleet_response_meta *a, const char *id)
{
	return id[0] && !a->ambiguous_id && !strcmp(a->request_id, id);
}

enum verdict verdict_for_response(const struct fleet_response_meta *a,
				  int status, const char *id)
{
	if (!verdict_is_own_response(a, id))
		return VERDICT_INVALID;
	if (states_not_run(a, status))
		return VERDICT_REFUSED;
	if (a->body_encoded || a->not_run)
		return VERDICT_INVALID;
	if (is_success(status) && !a->has_server_stamp)
		return VERDICT_INVALID;
	if (promises_not_run(status))
		return VERDICT_AMBIGUOUS;
	return status >= 500 ? VERDICT_FAILED : VERDICT_PASS;
}
