#include "relay.h"
#include "attempt.h"
#include "region_relay.h"
#include <netinet/in.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADER_RELAYED_BY "Relayed-By"
#define HEADER_ATTEMPTS "Relay-Attempts"
#define HEADER_OUTCOME "Request-Outcome"
#define HEADER_OUT_OF_REACH "Relay-Out-Of-Reach"

/* Ends the value of HEADER_ATTEMPTS if the sender has judged the caller's key
 * and names its workspace. Part of a header that every build sets itself, so
 * that a caller can't send it through a VM that forwards all others. */
#define WORKSPACE_MARK "; workspace"

/* Most VMs to which one request is sent in turn; each but the last has said, or
 * could not be reached to say, that it did not run it. */
#define RELAYS_MAX 3

/* Time in ms for which a VM that could not be reached, or that did not reach an
 * upstream itself, is not chosen again. */
#define AVOID_MS 3000

/* Least remaining time with which a request is relayed, in ms. */
#define REMAINING_MIN_MS 50

static const struct place_isolation *isolation_of(const struct proxy_request *r)
{
	return &r->thread->placement_state[r->service->stats_index].isolation;
}

static uint64_t service_hash(const struct proxy_request *r)
{
	return prl_hash_string(r->service_name);
}

int relay_is_isolated(const struct proxy_request *r)
{
	const struct steer_view *v = r->view;

	if (!r->service)
		return 0;
	return prl_now_ms() < isolation_of(r)->isolated_until_ms ||
	       (v->self != STEER_NONE &&
		steer_vm_is_isolated(&v->vm[v->self], service_hash(r)));
}

void relay_fill_peer_request(const struct proxy_request *r,
			     uint64_t avoided[PROXY_AVOIDED_MAX],
			     struct steer_peer_request *out)
{
	const struct proxy_thread *t = r->thread;
	int64_t now = prl_now_ms();

	*out = (struct steer_peer_request){
		.service = service_hash(r),
		.region_mask = r->region_mask,
		.avoided = avoided,
		.random = prl_hash_combine(t->random_state, r->handle),
	};
	for (int i = 0; i < PROXY_AVOIDED_MAX; i++)
		if (now < t->avoided_peer[i].until_ms)
			avoided[out->navoided++] = t->avoided_peer[i].id;
}

static int choose_peer(const struct proxy_request *r)
{
	uint64_t avoided[PROXY_AVOIDED_MAX];
	struct steer_peer_request req;

	relay_fill_peer_request(r, avoided, &req);
	return steer_choose_peer(r->view, &req);
}

void relay_avoid_peer(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	int i = t->next_avoided++ % PROXY_AVOIDED_MAX;

	t->avoided_peer[i].id = r->peer_id;
	t->avoided_peer[i].until_ms = prl_now_ms() + AVOID_MS;
}

int relay_is_allowed(const struct proxy_request *r)
{
	return r->routed && !r->relayed && !r->detached && !r->responded &&
	       r->nrelay < RELAYS_MAX &&
	       r->attempts_sent < r->policy.attempts_max &&
	       !(r->at_most_once && r->maybe_ran) &&
	       prl_now_ms() + REMAINING_MIN_MS < r->deadline_ms;
}

static int should_relay(const struct proxy_request *r)
{
	return relay_is_isolated(r) ||
	       (r->unreached &&
		place_isolation_is_impaired(isolation_of(r), prl_now_ms()));
}

int relay_may_follow(const struct proxy_request *r)
{
	return r->service && relay_is_allowed(r) && should_relay(r) &&
	       choose_peer(r) != STEER_NONE;
}

void relay_set_peer(struct proxy_request *r, int i)
{
	const struct steer_vm *vm = &r->view->vm[i];

	r->hop = HOP_PEER;
	r->peer_id = vm->id;
	memcpy(r->peer_address, vm->relay_address, sizeof(r->peer_address));
	r->instance[0] = 0;
	r->nrelay++;
	r->thread->random_state++;
	r->peer_allowed = r->policy.attempts_max - r->attempts_sent;
	metrics_add(&r->thread->metrics, METRIC_RELAYS_SENT, 1);
}

int relay_reserve(struct proxy_request *r)
{
	int i;

	if (!relay_is_allowed(r) || !should_relay(r))
		return 0;
	i = choose_peer(r);
	if (i == STEER_NONE)
		return 0;
	relay_set_peer(r, i);
	return 1;
}

int relay_is_header(const char *name)
{
	return !strcasecmp(name, HEADER_RELAYED_BY) ||
	       !strcasecmp(name, HEADER_ATTEMPTS) ||
	       region_relay_is_header(name);
}

void relay_add_headers(struct proxy_request *r)
{
	char line[STEER_NAME_MAX + 64];

	snprintf(line, sizeof(line), HEADER_RELAYED_BY ": %s",
		 r->thread->proxy->settings->vm.name);
	header_list_append(&r->request_headers, line);
	snprintf(line, sizeof(line), HEADER_ATTEMPTS ": %d%s", r->peer_allowed,
		 r->workspace_name[0] ? WORKSPACE_MARK : "");
	header_list_append(&r->request_headers, line);
	if (r->peer_region != STEER_NONE)
		region_relay_add_headers(r);
}

void relay_add_out_of_reach(struct proxy_request *r)
{
	MHD_add_response_header(r->mhd_response, HEADER_OUT_OF_REACH, "1");
}

static enum peer_outcome parse_outcome(const char *value)
{
	value += strspn(value, " \t");
	if (!strcmp(value, "not-run"))
		return PEER_NOT_RUN;
	return strcmp(value, "ran") ? PEER_UNKNOWN : PEER_RAN;
}

void relay_parse_header(struct proxy_request *r, const char *line)
{
	size_t n = strlen(HEADER_OUTCOME);

	if (!strncasecmp(line, HEADER_OUT_OF_REACH ":",
			 strlen(HEADER_OUT_OF_REACH) + 1))
		r->peer_out_of_reach = 1;
	region_relay_parse_header(r, line);
	if (strncasecmp(line, HEADER_OUTCOME, n) || line[n] != ':')
		return;
	r->peer_outcome = r->outcome_statements++ ? PEER_UNKNOWN
						  : parse_outcome(line + n + 1);
}

enum verdict relay_verdict(const struct proxy_request *r)
{
	switch (r->peer_outcome) {
	case PEER_RAN:
		return verdict_for_response(&r->response_meta, r->status,
					    r->request_meta.id);
	case PEER_NOT_RUN:
		return verdict_is_own_response(&r->response_meta,
					       r->request_meta.id)
			       ? VERDICT_REFUSED
			       : VERDICT_INVALID;
	case PEER_UNKNOWN:
		return VERDICT_AMBIGUOUS;
	}
	return VERDICT_AMBIGUOUS;
}

/* Sends the request to the next VM, or fails it. */
static void relay_again_or_fail(struct proxy_request *r, const char *cause)
{
	if (relay_is_allowed(r) && choose_peer(r) != STEER_NONE &&
	    !body_rewind(&r->request_body)) {
		request_retry(r);
		return;
	}
	request_release(r);
	request_fail_routed(r, cause);
}

static void relay_refused(struct proxy_request *r)
{
	request_update_outcome(r, 1);
	if (r->response_meta.retry_after_ms > 0)
		r->retry_after_ms = r->response_meta.retry_after_ms;
	if (r->peer_region != STEER_NONE) {
		region_relay_refused(r);
		return;
	}
	if (!r->peer_out_of_reach &&
	    r->status == MHD_HTTP_SERVICE_UNAVAILABLE) {
		request_release(r);
		request_fail_routed(r, "another VM refused the request");
		return;
	}
	/* Another VM may reach an upstream, or have a newer configuration. */
	relay_avoid_peer(r);
	relay_again_or_fail(r, "other VMs could not serve the request");
}

static void relay_failed(struct proxy_request *r, CURLcode result)
{
	r->curl_result = result;
	request_log_attempt(r, r->maybe_sent ? "broken" : "unreached");
	if (r->state == REQUEST_RESPONDING) {
		request_abort_response(r);
		return;
	}
	/* At the deadline the other VM may only wait for its upstream. */
	if (!r->maybe_sent || !request_timed_out(r))
		relay_avoid_peer(r);
	request_update_outcome(r, !r->maybe_sent);
	if (r->peer_region != STEER_NONE) {
		region_relay_failed(r);
		return;
	}
	if (!r->maybe_sent) {
		relay_again_or_fail(r, "other VMs could not be reached");
		return;
	}
	/* The other VM may have used all attempts. */
	r->attempts_sent = r->policy.attempts_max;
	request_release(r);
	request_fail_routed(r, request_timed_out(r)
				       ? "the deadline passed before another "
					 "VM's answer"
				       : "the connection to another VM "
					 "failed");
}

void relay_done(struct proxy_request *r, CURLcode result)
{
	if (result) {
		relay_failed(r, result);
		return;
	}
	switch (r->verdict) {
	case VERDICT_NONE:
		relay_failed(r, CURLE_PARTIAL_FILE);
		return;
	case VERDICT_PASS:
		request_forward_response(r);
		return;
	case VERDICT_FAILED:
		request_update_outcome(r, 0);
		request_forward_response(r);
		return;
	case VERDICT_REFUSED:
		request_log_attempt(r, "refused");
		relay_refused(r);
		return;
	case VERDICT_AMBIGUOUS:
	case VERDICT_INVALID:
		request_log_attempt(r, "failed");
		request_update_outcome(r, 0);
		request_release(r);
		request_fail_routed(r, "another VM could not complete the "
				       "request");
		return;
	}
}

/* Whether the sender's host is that of a VM of the fleet. */
static int is_from_vm(const struct proxy_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	struct sockaddr_storage from = {0};
	char text[PRL_ADDRESS_MAX];
	size_t host_len;

	memcpy(&from, info->client_addr,
	       info->client_addr->sa_family == AF_INET6
		       ? sizeof(struct sockaddr_in6)
		       : sizeof(struct sockaddr_in));
	prl_address_format(&from, text, sizeof(text));
	host_len = (size_t)(strrchr(text, ':') - text) + 1;
	for (int i = 0; i < r->view->nvm; i++)
		if (!strncmp(r->view->vm[i].relay_address, text, host_len))
			return 1;
	return 0;
}

const char *relay_workspace(const struct proxy_request *r)
{
	const char *attempts = request_header(r, HEADER_ATTEMPTS);
	const char *name = request_header(r, platform_workspace_header());

	if (!attempts || !name || strlen(name) >= FLEET_WORKSPACE_MAX)
		return NULL;
	return strstr(attempts, WORKSPACE_MARK) ? name : NULL;
}

int relay_accept(struct proxy_request *r)
{
	const char *attempts = request_header(r, HEADER_ATTEMPTS);
	const char *from = request_header(r, HEADER_RELAYED_BY);
	int max = attempts ? atoi(attempts) : 0;

	r->passed_on = region_relay_is_requested(r);
	if (max < 1 || !is_from_vm(r)) {
		r->refusal = PEER_REFUSAL_VM;
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
			     "the sender is not a known VM");
		return 0;
	}
	if (max < r->policy.attempts_max)
		r->policy.attempts_max = max;
	snprintf(r->relayed_by, sizeof(r->relayed_by), "%s", from ? from : "");
	metrics_add(&r->thread->metrics, METRIC_RELAYS_TAKEN, 1);
	return !r->passed_on || region_relay_accept(r);
}
