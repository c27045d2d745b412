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

static int is_success(int status)
{
	return status >= 200 && status < 300;
}

enum verdict verdict_for_response(const struct fleet_response_meta *a,
				  int status, const char *id)
{
	/* A delayed or duplicated response to an earlier request may arrive in
	 * place of the response to this one. */
	if (a->request_id[0] && strcmp(a->request_id, id))
		return VERDICT_INVALID;
	if (a->not_run || status == MHD_HTTP_MISDIRECTED_REQUEST)
		return VERDICT_REFUSED;
	if (a->body_encoded || !a->request_id[0])
		return VERDICT_INVALID;
	if (is_success(status) && !a->has_server_stamp)
		return VERDICT_INVALID;
	if (promises_not_run(status))
		return VERDICT_AMBIGUOUS;
	return status >= 500 ? VERDICT_FAILED : VERDICT_PASS;
}
