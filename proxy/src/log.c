/* Lines that tell what became of a request. */
#include "request.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>

static const char *const outcomes[] = {"not-run", "unknown", "ran"};

static void number(char out[24], int64_t n)
{
	snprintf(out, 24, "%lld", (long long)n);
}

void request_log(const struct proxy_request *r)
{
	char status[24];
	char ms[24];
	char attempts[24];
	char version[24];
	char wait[24];
	char inflight[24];
	char rank[24];
	char object[24];

	if (!r->routed)
		return;
	number(status, r->responded ? r->status : 0);
	number(ms, (prl_now_us() - r->began_us) / 1000);
	number(attempts, r->attempts);
	number(version, r->view ? r->view->manifest : 0);
	number(wait, r->wait_ms);
	number(inflight, r->inflight);
	number(rank, r->rank);
	snprintf(object, sizeof(object), "%016llx",
		 (unsigned long long)r->asked.object);
	log_event(LOG_INFO_LINE, "request", "id", r->asked.id, "service",
		  r->service_name, "status", status, "outcome",
		  outcomes[r->outcome], "cause", r->cause ? r->cause : "", "ms",
		  ms, "attempts", attempts, "upstream", r->instance, "manifest",
		  version, "wait_ms", wait, "inflight_milli", inflight, "rank",
		  rank, "object", object, NULL);
}

void request_log_attempt(const struct proxy_request *r, const char *result)
{
	char status[24];
	char ms[24];
	char code[24];

	number(status, r->status);
	number(ms, (prl_now_us() - r->sent_us) / 1000);
	number(code, r->curl_result);
	log_event(LOG_WARNING_LINE, "attempt", "id", r->asked.id, "upstream",
		  r->instance, "result", result, "status", status, "ms", ms,
		  "sent", r->issued ? "yes" : "no", "client_code", code, NULL);
}
