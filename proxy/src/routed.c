/* Dispatch of requests by the routes of the platform's manifest. */
#include "head.h"
#include "placing.h"
#include "quota.h"
#include "relay.h"
#include "splits.h"
#include "workspace.h"
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdlib.h>
#include <string.h>

/* Buffer for the request body, in bytes; a body that fits can be retried. */
#define REQUEST_BUFFER_BYTES (512 << 10)

/* Buffer for the response body, in bytes. Nothing is passed on until it is full
 * or the body complete, so that a response that breaks off earlier can be
 * retried. */
#define RESPONSE_BUFFER_BYTES (64 << 10)

/* Retry-After while this VM has no configuration, in ms; also the default of
 * refusals that set no other. */
#define RETRY_NOT_READY_MS 300

static const char *read_header(void *ctx, const char *name)
{
	return request_header(ctx, name);
}

static void reject(struct proxy_request *r, const char *cause)
{
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_SHED, 1);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

static const struct steer_route *find_route(const struct proxy_request *r)
{
	const char *host = request_header(r, MHD_HTTP_HEADER_HOST);

	return host ? steer_find_route(r->view, host, r->target) : NULL;
}

static int choose_service(struct proxy_request *r,
			  const struct steer_route *route)
{
	int i = steer_next_split(route,
				 splits_credit(&r->thread->splits, route));

	if (i == STEER_NONE ||
	    strlen(route->split[i].service) >= sizeof(r->service_name))
		return -1;
	strcpy(r->service_name, route->split[i].service);
	return 0;
}

static void set_deadline(struct proxy_request *r)
{
	int64_t timeout_ms = r->policy.timeout_ms;

	if (r->request_meta.time_left_ms >= 0 &&
	    r->request_meta.time_left_ms < timeout_ms)
		timeout_ms = r->request_meta.time_left_ms;
	r->deadline_ms = r->started_us / 1000 + timeout_ms;
}

static int is_too_large(const struct proxy_request *r)
{
	int64_t max_bytes = r->view->limits.body_bytes_max;

	return max_bytes > 0 && r->request_length > max_bytes;
}

/* Returns 1 if this VM can take routed requests; else rejects and returns 0. */
static int check_ready(struct proxy_request *r)
{
	if (atomic_load(&r->thread->proxy->terminating)) {
		request_refuse_stop(r, "this VM is about to end");
		return 0;
	}
	if (!r->view) {
		reject(r, "no configuration is in force yet");
		return 0;
	}
	return 1;
}

/* Checks the request against its policy and selects the service. Returns 1; or
 * 0 after failing a request that violates the policy. */
static int apply_route(struct proxy_request *r, const struct steer_route *route)
{
	r->at_most_once = route->policy.kind != FLEET_SAFE;
	set_deadline(r);
	if (is_too_large(r)) {
		request_fail(r, MHD_HTTP_CONTENT_TOO_LARGE,
			     "the body is too large");
		return 0;
	}
	if (route->is_homeless) {
		reject(r, "none of the route's home regions is known");
		return 0;
	}
	/* The VM that passed the request on has chosen it. */
	if (!r->service_name[0] && choose_service(r, route)) {
		reject(r, "the route leads to no service");
		return 0;
	}
	if (r->deadline_ms <= prl_now_ms()) {
		reject(r, "the deadline has passed");
		return 0;
	}
	return 1;
}

/* Finds the route of a request and the workspace that it belongs to. Returns 1;
 * or 0 after failing a request that is not allowed. */
static int accept_request(struct proxy_request *r)
{
	const struct steer_route *route = find_route(r);

	if (!route) {
		request_fail(r, MHD_HTTP_NOT_FOUND, "no route matches");
		return 0;
	}
	r->policy = route->policy;
	r->region_mask = route->region_mask;
	return (!r->relayed || relay_accept(r)) && workspace_accept(r, route) &&
	       apply_route(r, route) && quota_admit(r);
}

/* Returns 1 if the head is valid and the request allowed; else 0 after failing
 * it. */
static int check_head(struct proxy_request *r)
{
	const char *problem = request_read_framing(r);

	if (problem) {
		request_fail(r, MHD_HTTP_BAD_REQUEST, problem);
		return 0;
	}
	/* A request of another VM has that VM's header fields too. */
	return check_ready(r) &&
	       head_check(r,
			  r->relayed ? 0 : r->view->limits.header_bytes_max) &&
	       accept_request(r);
}

void request_dispatch_routed(struct proxy_request *r)
{
	int is_accepted;

	r->routed = 1;
	r->request_body.max_size = REQUEST_BUFFER_BYTES;
	r->response_body.max_size = RESPONSE_BUFFER_BYTES;
	r->retry_after_ms = RETRY_NOT_READY_MS;
	/* The head may have come long after the request's first line. */
	request_use_newest_view(r);
	platform_request_meta_parse(read_header, r, &r->request_meta);
	is_accepted = check_head(r);
	identity_set_head(r);
	if (is_accepted)
		unfinished_dispatch(r);
}
