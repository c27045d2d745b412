/* Requests for the routes of the platform's manifest. */
#include "placing.h"
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdlib.h>
#include <string.h>

/* Bytes of a caller's body that are kept for a repeated send. */
#define BODY_KEPT (512 << 10)

/* Bytes of an answer's body that are read before it is passed on: what breaks
 * off earlier can be asked for again. */
#define ANSWER_KEPT (64 << 10)

/* Time told to a caller while this VM knows no routes, in ms. */
#define RETRY_UNREADY_MS 300

/* Time told to a caller that came to a VM which is about to end, in ms: others
 * have room. */
#define RETRY_LEAVING_MS 10

static const char *read_header(void *ctx, const char *name)
{
	return request_header(ctx, name);
}

static void reject(struct proxy_request *r, const char *cause)
{
	metrics_add(&r->thread->metrics, METRIC_SHED, 1);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

/* The path alone, as routes match it. */
static const struct steer_route *find_route(const struct proxy_request *r)
{
	const char *host = request_header(r, MHD_HTTP_HEADER_HOST);
	size_t len = strcspn(r->target, "?");
	char path[FLEET_PATH_MAX];

	if (!host)
		return NULL;
	/* No prefix is longer than the buffer. */
	if (len >= sizeof(path))
		len = sizeof(path) - 1;
	memcpy(path, r->target, len);
	path[len] = 0;
	return steer_find_route(r->view, host, path);
}

static int choose_service(struct proxy_request *r,
			  const struct steer_route *route)
{
	int i = steer_next_split(route,
				 r->thread->split_credit[route->stats_index]);

	if (i == STEER_NONE)
		return -1;
	memcpy(r->service_name, route->split[i].service,
	       sizeof(r->service_name));
	return 0;
}

static void set_deadline(struct proxy_request *r)
{
	int64_t left = r->policy.timeout_ms;

	if (r->request_meta.remaining_ms >= 0 &&
	    r->request_meta.remaining_ms < left)
		left = r->request_meta.remaining_ms;
	r->deadline_ms = r->started_us / 1000 + left;
}

static int is_too_large(const struct proxy_request *r)
{
	int64_t most = r->view->limits.body_bytes_max;

	return most > 0 && r->request_length > most;
}

/* Whether this VM can take routed requests at all; refuses if not. */
static int check_ready(struct proxy_request *r)
{
	if (atomic_load(&r->thread->proxy->terminating)) {
		r->retry_after_ms = RETRY_LEAVING_MS;
		reject(r, "this VM is about to end");
		return 0;
	}
	if (!r->view) {
		reject(r, "no configuration is in force yet");
		return 0;
	}
	return 1;
}

/* Takes over what the route says; refuses if the request does not fit it. */
static int apply_route(struct proxy_request *r, const struct steer_route *route)
{
	r->policy = route->policy;
	r->region_mask = route->region_mask;
	r->at_most_once = route->policy.kind != FLEET_SAFE;
	set_deadline(r);
	if (is_too_large(r)) {
		request_fail(r, MHD_HTTP_CONTENT_TOO_LARGE,
			     "the body is too large");
		return 0;
	}
	if (choose_service(r, route)) {
		reject(r, "the route leads to no service");
		return 0;
	}
	if (r->deadline_ms <= prl_now_ms()) {
		reject(r, "the deadline has passed");
		return 0;
	}
	return 1;
}

void request_dispatch_routed(struct proxy_request *r)
{
	const struct steer_route *route;
	const char *problem;

	r->routed = 1;
	r->request_body.max_size = BODY_KEPT;
	r->response_body.max_size = ANSWER_KEPT;
	r->retry_after_ms = RETRY_UNREADY_MS;
	platform_request_parse(read_header, r, &r->request_meta);
	problem = request_read_framing(r);
	if (problem) {
		request_fail(r, MHD_HTTP_BAD_REQUEST, problem);
		return;
	}
	if (!check_ready(r))
		return;
	route = find_route(r);
	if (!route)
		request_fail(r, MHD_HTTP_NOT_FOUND, "no route matches");
	else if (apply_route(r, route))
		request_start_attempt(r);
}
