#include "head.h"
#include "request.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

const char *request_header(const struct proxy_request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}

/* The service name is the first label of the Host header. */
static const struct steer_service *find_service(const struct proxy_request *r)
{
	const char *host = request_header(r, "Host");
	int i;

	if (!host)
		return NULL;
	i = steer_find_service(r->view, host, strcspn(host, ".:"));
	return i == STEER_NONE ? NULL : r->view->service[i];
}

/* Returns the hash of the caller's block: the value of the header Caller-Block,
 * else the /24 (IPv4) or /48 (IPv6) of its address. */
static uint64_t read_caller_block(const struct proxy_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const char *header = request_header(r, "Caller-Block");
	const struct sockaddr_in *v4;
	const struct sockaddr_in6 *v6;

	if (header)
		return prl_hash_string(header);
	if (info->client_addr->sa_family == AF_INET6) {
		v6 = (const struct sockaddr_in6 *)(const void *)
			     info->client_addr;
		return prl_hash64(&v6->sin6_addr, 6, 0);
	}
	v4 = (const struct sockaddr_in *)(const void *)info->client_addr;
	return prl_hash64(&v4->sin_addr, 3, 0);
}

/* Returns the earlier of the caller's deadline and the service's. The service's
 * bounds every request because capacity of a failed VM is reassigned once that
 * time has passed. */
static int64_t compute_deadline(const struct proxy_request *r)
{
	int64_t now = prl_now_ms();
	int64_t limit = now + r->service->deadline_ms;
	const char *header = request_header(r, "Request-Deadline");
	int64_t wall_ms = prl_wall_ms();
	int64_t deadline;

	if (!header)
		return limit;
	deadline = strtoll(header, NULL, 10);
	if (deadline < wall_ms)
		return now - 1;
	if (deadline - wall_ms > r->service->deadline_ms)
		return limit;
	return now + (deadline - wall_ms);
}

/* Headers that define the length of a request. */
struct framing {
	int lengths;
	int encodings;
	const char *length;
	const char *encoding;
	int invalid_name;
};

static enum MHD_Result count_framing_header(void *ctx, enum MHD_ValueKind kind,
					    const char *name, const char *value)
{
	struct framing *f = ctx;

	(void)kind;
	if (!name[0] || name[strcspn(name, " \t\r\n")])
		f->invalid_name = 1;
	if (!strcasecmp(name, "Content-Length")) {
		f->lengths++;
		f->length = value ? value : "";
	} else if (!strcasecmp(name, "Transfer-Encoding")) {
		f->encodings++;
		f->encoding = value ? value : "";
	}
	return MHD_YES;
}

/* Returns why the framing is invalid, or null. Ambiguous framing is rejected to
 * prevent request smuggling: the upstream might see the request end elsewhere
 * and take a part of its body as another request. */
static const char *framing_problem(const struct framing *f)
{
	if (f->invalid_name)
		return "the name of a header line is not valid";
	if (f->lengths > 1 || f->encodings > 1)
		return "the length is given more than once";
	if (f->lengths && f->encodings)
		return "Content-Length stands beside Transfer-Encoding";
	if (f->encodings && strcasecmp(f->encoding, "chunked") != 0)
		return "Transfer-Encoding is not \"chunked\"";
	if (f->lengths && (!f->length[0] || strspn(f->length, "0123456789") !=
						    strlen(f->length)))
		return "Content-Length is not a number";
	return NULL;
}

const char *request_read_framing(struct proxy_request *r)
{
	struct framing f = {0};
	const char *problem;

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND,
				  count_framing_header, &f);
	problem = framing_problem(&f);
	r->bad_framing = problem != NULL;
	r->request_length =
		!problem && f.lengths ? strtoll(f.length, NULL, 10) : -1;
	r->has_body = f.lengths || f.encodings;
	return problem;
}

static int init_claim(struct proxy_request *r)
{
	const char *key = request_header(r, "Idempotency-Key");
	char full[PRL_NAME_MAX + PROXY_IDEMPOTENCY_KEY_MAX + 2];
	int n;

	if (!key || !*key || strlen(key) > PROXY_IDEMPOTENCY_KEY_MAX)
		return -1;
	n = snprintf(full, sizeof(full), "%s\n%s", r->service->name, key);
	r->claim.key = prl_hash128(full, (size_t)n);
	r->claim.token = prl_hash_combine(r->handle, r->thread->random_state++);
	r->claim.token ^= (uint64_t)prl_now_us();
	r->claim.status = CLAIM_OPEN;
	return 0;
}

/* The rules match the unescaped path, so that percent-encoding does not bypass
 * them. */
static int runs_at_most_once(const struct proxy_request *r, const char *url)
{
	char plain[2048];

	g_strlcpy(plain, url, sizeof(plain));
	MHD_http_unescape(plain);
	return steer_runs_at_most_once(r->service, r->method, plain);
}

void request_dispatch(struct proxy_request *r, const char *url)
{
	const char *problem = request_read_framing(r);

	if (problem) {
		request_fail(r, MHD_HTTP_BAD_REQUEST, problem);
		return;
	}
	if (!head_check(r, 0))
		return;
	if (!r->view) {
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
			     "no configuration is in force yet");
		return;
	}
	r->service = find_service(r);
	if (!r->service) {
		request_fail(r, MHD_HTTP_NOT_FOUND,
			     "the host names no service");
		return;
	}
	r->at_most_once = runs_at_most_once(r, url);
	if (r->at_most_once && init_claim(r)) {
		request_fail(r, MHD_HTTP_BAD_REQUEST,
			     "this request needs an Idempotency-Key of "
			     "1 to 200 bytes");
		return;
	}
	r->caller_block = read_caller_block(r);
	r->deadline_ms = compute_deadline(r);
	r->home_region =
		steer_home_region(r->service, r->view->nregion,
				  r->thread->proxy->region, r->caller_block);
	if (r->home_region == STEER_NONE) {
		request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE,
			     "the service runs in no region");
		return;
	}
	if (r->deadline_ms <= prl_now_ms()) {
		request_fail(r, MHD_HTTP_GATEWAY_TIMEOUT,
			     "the deadline has passed");
		return;
	}
	unfinished_dispatch(r);
}
