/* Log lines of routed requests and their attempts. */
#include "request.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>

static const char *const outcomes[] = {"not-run", "unknown", "ran"};

void request_log(const struct proxy_request *r)
{
	char status[LOG_NUMBER_MAX];
	char ms[LOG_NUMBER_MAX];
	char attempts[LOG_NUMBER_MAX];
	char version[LOG_NUMBER_MAX];
	char wait[LOG_NUMBER_MAX];
	char inflight[LOG_NUMBER_MAX];
	char rank[LOG_NUMBER_MAX];
	char object[LOG_NUMBER_MAX];
	char priority[LOG_NUMBER_MAX];
	char objective[LOG_NUMBER_MAX];

	if (!r->routed)
		return;
	log_format_number(status, r->responded ? r->status : 0);
	log_format_number(ms, (prl_now_us() - r->started_us) / 1000);
	log_format_number(attempts, r->attempts);
	log_format_number(version, r->view ? r->view->manifest_version : 0);
	log_format_number(wait, r->expected_wait_ms);
	log_format_number(inflight, r->inflight_milli);
	log_format_number(rank, r->rank);
	log_format_number(priority, r->policy.priority);
	log_format_number(objective, r->policy.latency_objective_ms);
	snprintf(object, sizeof(object), "%016llx",
		 (unsigned long long)r->request_meta.object_hash);
	log_event(LOG_LEVEL_INFO, "request", "id", r->request_meta.id,
		  "service", r->service_name, "status", status, "outcome",
		  outcomes[r->outcome], "cause", r->cause ? r->cause : "", "ms",
		  ms, "attempts", attempts, "upstream", r->instance, "peer",
		  r->peer_address, "relayed_by", r->relayed_by, "manifest",
		  version, "wait_ms", wait, "inflight_milli", inflight, "rank",
		  rank, "object", object, "priority", priority, "objective_ms",
		  objective, NULL);
}

void request_log_attempt(const struct proxy_request *r, const char *result)
{
	char status[LOG_NUMBER_MAX];
	char ms[LOG_NUMBER_MAX];
	char code[LOG_NUMBER_MAX];

	log_format_number(status, r->status);
	log_format_number(ms, (prl_now_us() - r->attempt_started_us) / 1000);
	log_format_number(code, r->curl_result);
	log_event(LOG_LEVEL_WARNING, "attempt", "id", r->request_meta.id,
		  "upstream", r->instance, "peer",
		  r->hop == HOP_PEER ? r->peer_address : "", "result", result,
		  "status", status, "ms", ms, "sent",
		  r->maybe_sent ? "yes" : "no", "client_code", code, NULL);
}
