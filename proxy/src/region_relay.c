#include "region_relay.h"
#include "attempt.h"
#include "relay.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADER_REGION "Relay-Region"
#define HEADER_SERVICE "Relay-Service"
#define HEADER_MANIFEST "Relay-Manifest"
#define HEADER_TRIED "Relay-Tried"
#define HEADER_REFUSAL "Relay-Refusal"
#define HEADER_TIME "Relay-Time"

/* Attempts left from which one is kept back, for the case that the other VM
 * ends. */
#define SPARE_ATTEMPTS_MIN 3

/* A connection is reused until it has been idle for this part of the idle
 * timeout of the other VM's listener, which is taken to be this one's. */
#define IDLE_PART 2

/* Size of a body, in bytes, from which a request is not relayed: it would be
 * sent over the links of two VMs. */
#define LARGE_BODY_BYTES (16 << 10)

/* Time for which upstreams are taken to keep idle connections while they have
 * not said so, in ms. */
#define IDLE_DEFAULT_MS 10000

#define MS_PER_S 1000

/* VMs of other regions to which one request is sent in turn; then it is sent to
 * an upstream. */
#define RELAYS_MAX 2

/* Least remaining time for another attempt, in ms. */
#define REMAINING_MIN_MS 50

static const char *const refusal_names[] = {"final", "region", "vm"};

/* Time for which an upstream keeps an idle connection. */
static int64_t idle_ms(const struct proxy_request *r,
		       const struct steer_upstream *u)
{
	int64_t s = r->thread->keep_alive_s[u->stats_index];

	return s > 0 ? s * MS_PER_S : IDLE_DEFAULT_MS;
}

static int choose_peer(const struct proxy_request *r, int region, int domain)
{
	uint64_t avoided[PROXY_AVOIDED_MAX + PLACE_PEERS_MAX];
	struct steer_peer_request req;

	relay_fill_peer_request(r, avoided, &req);
	req.navoided += place_peer_times_list_slow(&r->thread->peer_times,
						   region, prl_now_ms(),
						   avoided + req.navoided);
	return steer_choose_region_peer(r->view, &req, region, domain);
}

static int has_large_body(const struct proxy_request *r)
{
	return r->has_body &&
	       (r->request_length < 0 || r->request_length >= LARGE_BODY_BYTES);
}

int region_relay_reserve(struct proxy_request *r,
			 const struct place_request *request, int planned)
{
	const struct steer_upstream *home;
	int peer;
	int i;

	if (planned == STEER_NONE || planned == request->own_region ||
	    r->nrelay >= RELAYS_MAX || has_large_body(r) ||
	    !relay_is_allowed(r))
		return 0;
	i = place_first_home(request, planned);
	if (i == STEER_NONE)
		return 0;
	home = &r->service->upstream[i];
	if (place_keeps_connections(
		    request, planned, idle_ms(r, home),
		    r->thread->proxy->settings->traffic.direct_uses))
		return 0;
	peer = choose_peer(r, planned, home->domain);
	if (peer == STEER_NONE || !place_pass_on(request, planned))
		return 0;
	relay_set_peer(r, peer);
	r->peer_region = planned;
	r->region = planned;
	if (!r->at_most_once && r->peer_allowed >= SPARE_ATTEMPTS_MIN)
		r->peer_allowed--;
	metrics_add(&r->thread->metrics, METRIC_RELAYS_REGION_SENT, 1);
	return 1;
}

int region_relay_is_header(const char *name)
{
	static const char *const names[] = {HEADER_REGION,   HEADER_SERVICE,
					    HEADER_MANIFEST, HEADER_TRIED,
					    HEADER_REFUSAL,  HEADER_TIME};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (!strcasecmp(name, names[i]))
			return 1;
	return 0;
}

static void add_header(struct proxy_request *r, const char *name,
		       const char *value)
{
	char line[FLEET_SERVICE_MAX + STEER_NAME_MAX + 32];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	header_list_append(&r->request_headers, line);
}

void region_relay_add_headers(struct proxy_request *r)
{
	char version[32];

	snprintf(version, sizeof(version), "%lld",
		 (long long)r->view->manifest_version);
	add_header(r, HEADER_REGION, r->view->region[r->peer_region]);
	add_header(r, HEADER_SERVICE, r->service_name);
	add_header(r, HEADER_MANIFEST, version);
}

long region_relay_idle_max_s(const struct proxy_request *r)
{
	long idle_s = (long)r->thread->proxy->settings->traffic.idle;

	return idle_s > IDLE_PART ? idle_s / IDLE_PART : 1;
}

int region_relay_is_requested(const struct proxy_request *r)
{
	return request_header(r, HEADER_REGION) != NULL;
}

static int refuse(struct proxy_request *r, const char *cause)
{
	r->refusal = PEER_REFUSAL_VM;
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
	return 0;
}

/* Whether the request's route leads to a service. */
static int leads_to(const struct proxy_request *r, const char *service)
{
	const struct steer_route *route = steer_find_route(
		r->view, request_header(r, MHD_HTTP_HEADER_HOST), r->target);

	for (int i = 0; route && i < route->nsplit; i++)
		if (!strcmp(route->split[i].service, service))
			return 1;
	return 0;
}

int region_relay_accept(struct proxy_request *r)
{
	const char *region = request_header(r, HEADER_REGION);
	const char *service = request_header(r, HEADER_SERVICE);
	const char *manifest = request_header(r, HEADER_MANIFEST);
	int own = r->thread->proxy->region;

	if (strcmp(region, r->view->region[own]) != 0 ||
	    (r->region_mask && !(r->region_mask >> own & 1)))
		return refuse(r, "the request may not run in this region");
	if (manifest && strtoll(manifest, NULL, 10) > r->view->manifest_version)
		return refuse(r, "another VM has a newer configuration");
	/* Each VM keeps to the weights of a split by itself. */
	if (service && strlen(service) < sizeof(r->service_name) &&
	    leads_to(r, service))
		strcpy(r->service_name, service);
	metrics_add(&r->thread->metrics, METRIC_RELAYS_REGION_TAKEN, 1);
	return 1;
}

void region_relay_add_refusal(struct proxy_request *r)
{
	char tried[16];

	snprintf(tried, sizeof(tried), "%d", r->attempts_sent);
	MHD_add_response_header(r->mhd_response, HEADER_TRIED, tried);
	MHD_add_response_header(r->mhd_response, HEADER_REFUSAL,
				refusal_names[r->refusal]);
}

void region_relay_add_time(struct proxy_request *r)
{
	char text[32];

	snprintf(text, sizeof(text), "%lld",
		 (long long)(prl_now_us() - r->started_us));
	MHD_add_response_header(r->mhd_response, HEADER_TIME, text);
}

static const char *value_of(const char *line, const char *name)
{
	size_t n = strlen(name);

	if (strncasecmp(line, name, n) != 0 || line[n] != ':')
		return NULL;
	return line + n + 1 + strspn(line + n + 1, " \t");
}

/* Called as the head of the response arrives. */
static void record_time(struct proxy_request *r, int64_t at_peer_us)
{
	int64_t us = prl_now_us() - r->attempt_started_us - at_peer_us;

	if (at_peer_us >= 0 && us > 0)
		place_peer_times_record(&r->thread->peer_times, r->peer_id,
					r->peer_region, us, prl_now_ms());
}

void region_relay_parse_header(struct proxy_request *r, const char *line)
{
	const char *tried = value_of(line, HEADER_TRIED);
	const char *refusal = value_of(line, HEADER_REFUSAL);
	const char *time = value_of(line, HEADER_TIME);

	if (tried)
		r->peer_attempts = atoi(tried);
	if (time && r->peer_region != STEER_NONE)
		record_time(r, strtoll(time, NULL, 10));
	for (int i = PEER_REFUSAL_FINAL; refusal && i <= PEER_REFUSAL_VM; i++)
		if (!strcmp(refusal, refusal_names[i]))
			r->peer_refusal = (enum peer_refusal)i;
}

/* Counts the attempts that the other VM made, or may have made. */
static void count_attempts(struct proxy_request *r, int attempts)
{
	r->attempts_sent += attempts;
	if (attempts > 1)
		r->attempts += attempts - 1;
}

/* Places the request again, as if it had not been placed yet. */
static int place_again(struct proxy_request *r)
{
	if (r->detached || r->responded ||
	    prl_now_ms() + REMAINING_MIN_MS >= r->deadline_ms ||
	    body_rewind(&r->request_body))
		return 0;
	request_retry(r);
	return 1;
}

static void fail(struct proxy_request *r, const char *cause)
{
	request_release(r);
	request_fail_routed(r, cause);
}

void region_relay_refused(struct proxy_request *r)
{
	int attempts = r->peer_attempts;
	int is_final =
		r->peer_refusal == PEER_REFUSAL_FINAL && !r->peer_out_of_reach;

	if (attempts < 0 || attempts > r->peer_allowed)
		attempts = r->peer_allowed;
	count_attempts(r, attempts);
	if (r->peer_refusal == PEER_REFUSAL_REGION) {
		r->full_regions |= (uint32_t)1 << r->peer_region;
		metrics_add(&r->thread->metrics, METRIC_RELAYS_REGION_REFUSED,
			    1);
	}
	if (r->peer_refusal == PEER_REFUSAL_VM || r->peer_out_of_reach)
		relay_avoid_peer(r);
	if (!attempts && !is_final && place_again(r))
		return;
	if (attempts && request_may_retry(r, 1)) {
		request_retry(r);
		return;
	}
	fail(r, "the VM of another region refused the request");
}

void region_relay_failed(struct proxy_request *r)
{
	if (!r->maybe_sent) {
		if (!place_again(r))
			fail(r, "the VM of another region could not be "
				"reached");
		return;
	}
	count_attempts(r, r->peer_allowed);
	if (r->attempts_sent < r->policy.attempts_max &&
	    !request_timed_out(r) && request_may_retry(r, 0)) {
		request_retry(r);
		return;
	}
	fail(r, request_timed_out(r)
			? "the deadline passed before the answer of another "
			  "region's VM"
			: "the connection to the VM of another region failed");
}
