/* Log lines of routed requests and their attempts. */
#include "request.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>

static const char *const outcomes[] = {"not-run", "unknown", "ran"};

/* The last attempt's response as far as it came, as texts. */
struct response_text {
	const char *head;
	const char *framing;
	/** Id that the response names; empty if none. */
	const char *id;
	/** "stated" if it says that the request did not run. */
	const char *not_run;
	char length[LOG_NUMBER_MAX];
	char body[LOG_NUMBER_MAX];
	char uses[LOG_NUMBER_MAX];
};

static void format_response(struct response_text *out,
			    const struct proxy_request *r)
{
	int begun = r->head.stage != RESPONSE_NOTHING;

	out->head = response_stage_name(r->head.stage);
	out->framing = begun ? response_framing_name(r->head.framing) : "";
	out->id = begun ? r->response_meta.request_id : "";
	out->not_run = begun && r->response_meta.not_run ? "stated" : "";
	log_format_number(out->length, begun ? r->head.length : -1);
	log_format_number(out->body, (long long)r->received_bytes);
	log_format_number(out->uses, r->connection_uses);
}

/* In percent; -1 if no upstream has told its own. */
static int slowness_of(const struct proxy_request *r)
{
	int percent = r->response_meta.slowness_percent;

	return percent > 0 ? percent : -1;
}

/* Region in which the request was placed last. */
static const char *region_name(const struct proxy_request *r)
{
	return r->view && r->region != STEER_NONE ? r->view->region[r->region]
						  : "";
}

void request_log(const struct proxy_request *r)
{
	char status[LOG_NUMBER_MAX];
	char ms[LOG_NUMBER_MAX];
	char attempts[LOG_NUMBER_MAX];
	char version[LOG_NUMBER_MAX];
	char wait[LOG_NUMBER_MAX];
	char inflight[LOG_NUMBER_MAX];
	char queued[LOG_NUMBER_MAX];
	char age[LOG_NUMBER_MAX];
	char slowness[LOG_NUMBER_MAX];
	char rank[LOG_NUMBER_MAX];
	char object[LOG_NUMBER_MAX];
	char priority[LOG_NUMBER_MAX];
	char objective[LOG_NUMBER_MAX];
	char digest[IDENTITY_TEXT_MAX];
	struct response_text response;

	if (!r->routed)
		return;
	log_format_number(status, r->responded ? r->status : 0);
	log_format_number(ms, (prl_now_us() - r->started_us) / 1000);
	log_format_number(attempts, r->attempts);
	log_format_number(version, r->view ? r->view->manifest_version : 0);
	log_format_number(wait, r->expected_wait_ms);
	log_format_number(inflight, r->inflight_milli);
	log_format_number(queued, r->queued_us / 1000);
	log_format_number(
		age, r->report_age_ms == PRL_NEVER ? -1 : r->report_age_ms);
	log_format_number(slowness, slowness_of(r));
	log_format_number(rank, r->rank);
	log_format_number(priority, r->policy.priority);
	log_format_number(objective, r->policy.latency_objective_ms);
	format_response(&response, r);
	identity_format(r, digest);
	snprintf(object, sizeof(object), "%016llx",
		 (unsigned long long)r->request_meta.object_hash);
	log_event(LOG_LEVEL_INFO, "request", "id", r->request_meta.id, "digest",
		  digest, "service", r->service_name, "workspace",
		  r->workspace_name, "status", status, "outcome",
		  outcomes[r->outcome], "cause", r->cause ? r->cause : "", "ms",
		  ms, "attempts", attempts, "upstream", r->instance, "region",
		  region_name(r), "peer", r->peer_address, "relayed_by",
		  r->relayed_by, "manifest", version, "queued_ms", queued,
		  "wait_ms", wait, "inflight_milli", inflight, "report_age_ms",
		  age, "slowness_percent", slowness, "rank", rank, "object",
		  object, "priority", priority, "objective_ms", objective,
		  "head", response.head, "framing", response.framing, "length",
		  response.length, "body", response.body, "uses", response.uses,
		  "answer_id", response.id, NULL);
}

void request_log_refused_stop(const struct proxy_request *r)
{
	int64_t now = prl_now_ms();
	char left[LOG_NUMBER_MAX];
	char needed[LOG_NUMBER_MAX];

	log_format_number(left, atomic_load(&r->thread->proxy->end_ms) - now);
	log_format_number(needed, r->deadline_ms ? r->deadline_ms - now : -1);
	log_event(LOG_LEVEL_INFO, "refused_stop", "id", r->request_meta.id,
		  "left_ms", left, "needed_ms", needed, NULL);
}

void request_log_attempt(const struct proxy_request *r, const char *result)
{
	char status[LOG_NUMBER_MAX];
	char ms[LOG_NUMBER_MAX];
	char code[LOG_NUMBER_MAX];
	char digest[IDENTITY_TEXT_MAX];
	struct response_text response;

	log_format_number(status, r->head.status);
	log_format_number(ms, (prl_now_us() - r->attempt_started_us) / 1000);
	log_format_number(code, r->curl_result);
	identity_format(r, digest);
	format_response(&response, r);
	log_event(LOG_LEVEL_WARNING, "attempt", "id", r->request_meta.id,
		  "digest", digest, "upstream", r->instance, "peer",
		  r->hop == HOP_PEER ? r->peer_address : "", "result", result,
		  "status", status, "ms", ms, "sent",
		  r->maybe_sent ? "yes" : "no", "client_code", code, "not_run",
		  response.not_run, "head", response.head, "framing",
		  response.framing, "length", response.length, "body",
		  response.body, "uses", response.uses, "answer_id",
		  response.id, NULL);
}
