#include "service.h"
#include "attempt.h"
#include "sockets.h"
#include "upstream.h"
#include <inttypes.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

void service_name_attempt(struct proxy_request *r)
{
	uint64_t id = prl_hash_combine(r->handle, r->thread->random_state++);

	snprintf(r->attempt_id, sizeof(r->attempt_id), "%016" PRIx64, id);
}

void service_add_headers(struct proxy_request *r, int64_t remaining_ms)
{
	char line[64];

	snprintf(line, sizeof(line), "Request-Deadline: %" PRId64,
		 prl_wall_ms() + remaining_ms);
	header_list_append(&r->request_headers, line);
	snprintf(line, sizeof(line), SERVICE_ATTEMPT_HEADER ": %s",
		 r->attempt_id);
	header_list_append(&r->request_headers, line);
}

/* A connection that does not tell responses apart carries one at-most-once
 * request and nothing else. */
static void use_own_connection(struct proxy_request *r)
{
	curl_easy_setopt(r->fetch.easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(r->fetch.easy, CURLOPT_FORBID_REUSE, 1L);
}

void service_set_connection_options(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	if (r->unfit_connections)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	if (!r->at_most_once)
		return;
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, ONCE_IDLE_MAX_S);
	if (!atomic_load(&upstream_stats(r, r->upstream)->names_attempts))
		use_own_connection(r);
}

int service_may_reuse(const struct proxy_request *r, uint64_t endpoint_hash)
{
	return !r->at_most_once ||
	       sockets_names_attempts(r->thread->sockets, endpoint_hash);
}

/* Two ids are no id of this attempt, even if one of them fits. */
static void read_attempt_id(struct proxy_request *r, const char *value)
{
	value += strspn(value, " \t");
	if (r->naming == NAMING_NONE && !strcmp(value, r->attempt_id))
		r->naming = NAMING_THIS;
	else
		r->naming = NAMING_OTHER;
}

static void read_outcome(struct proxy_request *r, const char *value)
{
	value += strspn(value, " \t");
	r->upstream_refused = !r->outcome_statements++ &&
			      !strcmp(value, "not-run") &&
			      r->head.status == MHD_HTTP_SERVICE_UNAVAILABLE;
}

void service_parse_header(struct proxy_request *r, const char *line)
{
	struct proxy_upstream_stats *stats = upstream_stats(r, r->upstream);

	if (!strncasecmp(line, "Upstream-Running:", 17)) {
		atomic_store(&stats->reported_running, atoi(line + 17));
		atomic_store(&stats->reported_ms, prl_now_ms());
	}
	if (!strncasecmp(line, "Request-Outcome:", 16))
		read_outcome(r, line + 16);
	if (!strncasecmp(line, SERVICE_ATTEMPT_HEADER ":",
			 sizeof(SERVICE_ATTEMPT_HEADER)))
		read_attempt_id(r, line + sizeof(SERVICE_ATTEMPT_HEADER));
}

static int is_own_response(const struct proxy_request *r)
{
	switch (r->naming) {
	case NAMING_THIS:
		return 1;
	case NAMING_OTHER:
		return 0;
	case NAMING_NONE:
		break;
	}
	if (sockets_names_attempts(r->thread->sockets, r->endpoint_hash))
		return 0;
	return r->new_fd >= 0 || !r->upstream_refused;
}

int service_check_response(struct proxy_request *r)
{
	struct proxy_upstream_stats *stats = upstream_stats(r, r->upstream);

	if (!is_own_response(r)) {
		r->upstream_refused = 0;
		r->verdict = VERDICT_INVALID;
		return -1;
	}
	atomic_store(&stats->names_attempts, r->naming == NAMING_THIS);
	if (r->naming == NAMING_THIS)
		sockets_set_names_attempts(r->thread->sockets,
					   r->endpoint_hash);
	return 0;
}
