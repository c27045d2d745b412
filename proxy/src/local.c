#include "local.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Buffer for the text of the metrics page, in bytes. */
#define METRICS_BYTES 32768

static enum MHD_Result reply(struct MHD_Connection *conn, unsigned int status,
			     const char *type, const char *text, size_t len)
{
	struct MHD_Response *resp;
	enum MHD_Result rc;

	resp = MHD_create_response_from_buffer(len, (void *)text,
					       MHD_RESPMEM_MUST_COPY);
	if (!resp)
		return MHD_NO;
	MHD_add_response_header(resp, "Content-Type", type);
	rc = MHD_queue_response(conn, status, resp);
	MHD_destroy_response(resp);
	return rc;
}

static enum MHD_Result reply_error(struct MHD_Connection *conn,
				   unsigned int status, const char *cause)
{
	char text[160];
	int n = snprintf(text, sizeof(text), "{\"cause\":\"%s\"}\n", cause);

	return reply(conn, status, "application/json", text, (size_t)n);
}

static const char *get_argument(struct MHD_Connection *conn, const char *name)
{
	return MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the hash of the caller's block as read_caller_block of dispatch.c
 * does, but from the argument "block" instead of the header Caller-Block, so
 * that a look-up and the request after it are steered alike. */
static uint64_t read_caller_block(struct MHD_Connection *conn)
{
	const char *block = get_argument(conn, "block");
	const union MHD_ConnectionInfo *info;
	const struct sockaddr_in *v4;

	if (block)
		return prl_hash_string(block);
	info = MHD_get_connection_info(conn,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	v4 = (const struct sockaddr_in *)(const void *)info->client_addr;
	if (v4->sin_family == AF_INET)
		return prl_hash64(&v4->sin_addr, 3, 0);
	return prl_hash64(
		&((const struct sockaddr_in6 *)(const void *)v4)->sin6_addr, 6,
		0);
}

/* Maximum size of a look-up response in bytes, with service name and addresses
 * of maximum length. */
#define LOOKUP_BYTES 1024

/* Concatenates the parts and uses sprintf only for numbers, for speed: this is
 * the most frequent response. Returns the length. */
static size_t write_lookup_response(const struct steer_view *v,
				    const struct steer_service *s,
				    const struct steer_lookup_answer *a,
				    char text[LOOKUP_BYTES])
{
	int64_t expires = prl_wall_ms() + s->lookup_ttl_ms;
	char *at = stpcpy(text, "{\"service\":\"");

	at = stpcpy(at, s->name);
	at += sprintf(at, "\",\"revision\":%lld,\"expires\":%lld,\"vms\":[",
		      (long long)v->revision, (long long)expires);
	for (int i = 0; i < a->n; i++) {
		at = stpcpy(at, i ? ",{\"address\":\"" : "{\"address\":\"");
		at = stpcpy(at, v->vm[a->entry[i].vm].address);
		at += sprintf(at, "\",\"weight\":%d}",
			      a->entry[i].weight_permille);
	}
	at = stpcpy(at, "]}\n");
	return (size_t)(at - text);
}

static enum MHD_Result reply_lookup(struct proxy_thread *t,
				    struct MHD_Connection *conn)
{
	const char *name = get_argument(conn, "service");
	const char *region = get_argument(conn, "region");
	const struct steer_view *v = t->view;
	struct steer_lookup_request request = {.region = t->proxy->region};
	struct steer_lookup_answer answer;
	char text[LOOKUP_BYTES];
	size_t n;

	if (!v)
		return reply_error(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "no configuration is in force yet");
	if (!name)
		return reply_error(conn, MHD_HTTP_BAD_REQUEST,
				   "the argument \\\"service\\\" is missing");
	request.service = steer_find_service(v, name, strlen(name));
	if (request.service == STEER_NONE)
		return reply_error(conn, MHD_HTTP_NOT_FOUND,
				   "the service is not published");
	if (region)
		request.region = steer_find_region(v, region);
	if (request.region == STEER_NONE)
		return reply_error(conn, MHD_HTTP_NOT_FOUND,
				   "the region is not known");
	request.block = read_caller_block(conn);
	steer_lookup(v, &request, &answer);
	metrics_add(&t->metrics, METRIC_LOOKUPS, 1);
	if (!answer.n)
		return reply_error(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "no entry VM is live");
	n = write_lookup_response(v, v->service[request.service], &answer,
				  text);
	return reply(conn, MHD_HTTP_OK, "application/json", text, n);
}

/* Time in s for which callers may cache a look-up; limits how long a stopped VM
 * is still used. */
#define LOOKUP_TTL_S 2

static int64_t lookup_ttl_s(const struct proxy_thread *t)
{
	int64_t max_s = t->bounds.lookup_ttl_max_s;

	return max_s < LOOKUP_TTL_S ? max_s : LOOKUP_TTL_S;
}

static const char *read_argument(void *ctx, const char *name)
{
	return get_argument(ctx, name);
}

/* Responds to a look-up in the platform's format. */
static enum MHD_Result reply_platform_lookup(struct proxy_thread *t,
					     struct MHD_Connection *conn)
{
	const struct steer_view *v = t->view;
	const char *address[STEER_NEARBY_MAX];
	int vm[STEER_NEARBY_MAX];
	struct fleet_lookup request;
	enum MHD_Result rc;
	int region;
	char *text;
	int n;

	platform_lookup_parse(read_argument, conn, &request);
	region = v && request.region ? steer_find_region(v, request.region)
				     : STEER_NONE;
	n = v ? steer_nearby_vms(v, region, vm) : 0;
	if (!n)
		return reply_error(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "no entry VM is known to be live");
	for (int i = 0; i < n; i++)
		address[i] = v->vm[vm[i]].address;
	metrics_add(&t->metrics, METRIC_LOOKUPS, 1);
	text = platform_lookup_format(address, n, lookup_ttl_s(t));
	if (!text)
		return MHD_NO;
	rc = reply(conn, MHD_HTTP_OK, "application/json", text, strlen(text));
	free(text);
	return rc;
}

static enum MHD_Result reply_health(struct proxy_thread *t,
				    struct MHD_Connection *conn)
{
	if (atomic_load(&t->proxy->leaving))
		return reply_error(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "this VM is leaving");
	if (!t->view)
		return reply_error(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
				   "no configuration is in force yet");
	return reply(conn, MHD_HTTP_OK, "application/json",
		     "{\"state\":\"live\"}\n", 17);
}

static enum MHD_Result reply_metrics(struct proxy_thread *t,
				     struct MHD_Connection *conn)
{
	const struct metrics *all[PROXY_THREADS_MAX + 1];
	char text[METRICS_BYTES];
	size_t n;

	for (int i = 0; i < t->proxy->nthread; i++)
		all[i] = &t->proxy->thread[i].metrics;
	all[t->proxy->nthread] = &t->proxy->control_metrics;
	n = metrics_format(all, t->proxy->nthread + 1, text, sizeof(text));
	return reply(conn, MHD_HTTP_OK, "text/plain; version=0.0.4", text, n);
}

static enum MHD_Result reply_status(struct proxy_thread *t,
				    struct MHD_Connection *conn)
{
	enum MHD_Result rc;

	atomic_store(&t->proxy->status_requested, 1);
	apr_thread_mutex_lock(t->proxy->status_lock);
	if (t->proxy->status)
		rc = reply(conn, MHD_HTTP_OK, "application/json",
			   t->proxy->status, strlen(t->proxy->status));
	else
		rc = reply_error(conn, MHD_HTTP_SERVICE_UNAVAILABLE,
				 "there is no status yet");
	apr_thread_mutex_unlock(t->proxy->status_lock);
	return rc;
}

enum MHD_Result local_respond(struct proxy_thread *t,
			      struct MHD_Connection *conn, const char *url,
			      const char *method)
{
	const char *name = url + strnlen(url, strlen(PROXY_LOCAL_PATH_PREFIX));

	if (strcmp(method, "GET") && strcmp(method, "HEAD"))
		return reply_error(conn, MHD_HTTP_METHOD_NOT_ALLOWED,
				   "only GET is allowed here");
	if (platform_is_lookup_path(url))
		return reply_platform_lookup(t, conn);
	if (platform_is_ready_path(url))
		return reply_health(t, conn);
	if (strncmp(url, PROXY_LOCAL_PATH_PREFIX,
		    strlen(PROXY_LOCAL_PATH_PREFIX)))
		return reply_error(conn, MHD_HTTP_NOT_FOUND, "no such page");
	if (!strcmp(name, "lookup"))
		return reply_lookup(t, conn);
	if (!strcmp(name, "health"))
		return reply_health(t, conn);
	if (!strcmp(name, "metrics"))
		return reply_metrics(t, conn);
	if (!strcmp(name, "status"))
		return reply_status(t, conn);
	return reply_error(conn, MHD_HTTP_NOT_FOUND, "no such page");
}
