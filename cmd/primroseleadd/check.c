#include "check.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <string.h>

/* Maximum size of a response in bytes, its head included. */
#define RESPONSE_MAX_BYTES (64 << 10)

static void end_transfer(struct check *k)
{
	curl_slist_free_all(k->headers);
	curl_easy_cleanup(k->fetch.easy);
	receiver_finish(&k->answer);
	k->headers = NULL;
	k->fetch.easy = NULL;
	k->in_flight = 0;
}

void check_finish(struct check *k)
{
	if (k->in_flight) {
		fetch_cancel(&k->control->fetch_pool, &k->fetch);
		end_transfer(k);
	}
	g_free(k->path);
	k->path = NULL;
}

/*
 * Rejects the response of another instance, or one to another request. Most
 * upstreams return no request id for checks, so only a different id counts as a
 * mismatch.
 */
static int is_own_response(const struct check *k)
{
	if (k->response.ambiguous_id || k->response.ambiguous_instance)
		return 0;
	if (k->response.request_id[0] &&
	    strcmp(k->response.request_id, k->request_id) != 0)
		return 0;
	return !strcmp(k->response.instance, k->instance);
}

static void read_response(struct check *k)
{
	k->status = k->answer.head.status;
	for (struct curl_slist *f = k->answer.fields.first; f; f = f->next)
		platform_response_meta_parse_header(f->data, &k->response);
}

static void on_done(struct fetch *f, CURLcode result)
{
	struct check *k = f->ctx;
	int answered = !result;

	if (k->path) {
		result = receiver_result(&k->answer, result);
		if (!result)
			read_response(k);
		answered = !result && is_own_response(k);
	}
	end_transfer(k);
	k->result = result;
	k->done(k, answered);
}

static void set_headers(struct check *k)
{
	char line[FLEET_NAME_MAX + 64];

	snprintf(k->request_id, sizeof(k->request_id), "health-%016llx",
		 (unsigned long long)control_random());
	snprintf(line, sizeof(line), "%s: %s", platform_request_id_header(),
		 k->request_id);
	k->headers = curl_slist_append(k->headers, line);
	platform_deadline_header_format(line, sizeof(line),
					k->deadline_ms - k->sent_ms);
	k->headers = curl_slist_append(k->headers, line);
	platform_instance_header_format(line, sizeof(line), k->instance);
	k->headers = curl_slist_append(k->headers, line);
}

static void set_options(struct check *k)
{
	CURL *easy = k->fetch.easy;
	char *url = g_strdup_printf("http://%s%s", k->address,
				    k->path ? k->path : "");

	curl_easy_setopt(easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, k->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(k->deadline_ms - k->sent_ms));
	receiver_attach(&k->answer, easy);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	if (!k->path)
		curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
}

void check_use_path_of(struct check *k, const struct fleet_service *config)
{
	g_free(k->path);
	k->path = config && fleet_has_health_path(config)
			  ? g_strdup(config->health_path)
			  : NULL;
}

void check_set_path(struct check *k, const char *service)
{
	const struct fleet_service *config = fleet_find_service(
		&k->control->objects.inventory.manifest, service);

	check_use_path_of(k, config);
}

enum prl_code check_start(struct check *k, struct prl_error *err)
{
	CURL *easy = curl_easy_init();

	if (!easy)
		return prl_error_set(err, PRL_E_MEMORY,
				     "check of %s: out of memory", k->instance);
	k->fetch = (struct fetch){.easy = easy, .done = on_done, .ctx = k};
	k->in_flight = 1;
	k->status = 0;
	receiver_init(&k->answer, RESPONSE_MAX_BYTES);
	k->sent_ms = prl_now_ms();
	platform_response_meta_init(&k->response);
	set_headers(k);
	set_options(k);
	if (!fetch_start(&k->control->fetch_pool, &k->fetch, err))
		return PRL_OK;
	end_transfer(k);
	return err->code;
}
