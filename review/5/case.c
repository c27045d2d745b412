/* A valid manifest with a route that is split over nine services: no VM takes
 * it, and all go on by the version before, without end. */
#include "../rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Parts of the split route in the new version; without the trouble it has
 * fewer. */
#define PARTS 9
#define PARTS_WITHOUT_TROUBLE 3

/* Time from the confirmation of a version until it must be in force, in ms, and
 * time for which requests are sent after it. */
#define APPLY_MS 2500
#define AFTER_MS 15000

/* Pause between two requests, in ms. */
#define PAUSE_MS 50

/* Requests that may be handled by the older version. */
#define STALE_MAX 0

#define SERVICES 9
#define VMS 3
#define MANIFEST_BYTES 16384

static struct rig_upstream upstream[SERVICES];

static int serve(const struct rig_request *r)
{
	if (rig_read_body(r) < 0)
		return -1;
	rig_count_run(r);
	return rig_answer(r, 200, "3e1b.07.5a2.600.0.c9f2a4d1",
			  "X-Server-Load: 1,0,6\r\n", r->upstream->service);
}

static char *add_route(char *at, const char *name, const char *prefix,
		       const char *kind)
{
	return at + sprintf(at,
			    "\"%s\":{\"host\":\"ficu95.example\","
			    "\"path_prefix\":\"%s\",\"kind\":\"%s\","
			    "\"timeout_ms\":2500,\"target_latency_ms\":600,"
			    "\"priority\":1,\"max_attempts\":2,"
			    "\"sticky_sessions\":true,\"home_regions\":[],",
			    name, prefix, kind);
}

static char *add_split(char *at, int parts)
{
	at = stpcpy(at, "\"traffic_split\":[");
	for (int i = 0; i < parts; i++)
		at += sprintf(at, "%s{\"service\":\"%s\",\"weight\":%d}",
			      i ? "," : "", upstream[i].service,
			      i ? 5 : 100 - 5 * (parts - 1));
	return stpcpy(at, "]}");
}

static char *add_services(char *at)
{
	at = stpcpy(at, "},\"services\":{");
	for (int i = 0; i < SERVICES; i++)
		at += sprintf(at,
			      "%s\"%s\":{\"health_check_path\":\"/health\","
			      "\"max_connections\":390,\"protocol\":\"h1\","
			      "\"tls\":false,\"cold_start_s\":0.1,"
			      "\"cold_per_s\":6.9}",
			      i ? "," : "", upstream[i].service);
	return stpcpy(at, "},");
}

/* Writes a manifest in which "service" serves the accepting route and the route
 * of quotes is split over "parts" services. */
static void put_manifest(int version, const char *service, int parts)
{
	static char text[MANIFEST_BYTES];
	char *at =
		text + sprintf(text, "{\"version\":%d,\"routes\":{", version);

	at = add_route(at, "r-quote", "/lohu930/", "safe");
	at = add_split(at, parts);
	*at++ = ',';
	at = add_route(at, "r-accept", "/pufi791/", "unsafe");
	at += sprintf(at, "\"service\":\"%s\"}", service);
	at = add_services(at);
	strcpy(at, "\"limits\":{\"max_header_bytes\":16384,"
		   "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
		   "\"idle_timeout_ms\":15000}}");
	rig_put("config/main", text);
	rig_note("version %d is confirmed: %s accepts, quotes are split over "
		 "%d services",
		 version, service, parts);
}

/* Sends an accepting request. Returns the length of the name of the service
 * that ran it, as the answer's body gives it; 0 if it was not served. */
static size_t send_request(int vm, const char *id)
{
	struct rig_result result = {.status = 0};
	int fd = rig_connect(rig_vm_port(vm));
	char head[512];

	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
		 "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		 "X-Request-Id: %s\r\nX-Affinity-Key: 17\r\n"
		 "X-Deadline-Remaining-Ms: 4000\r\nContent-Length: 10\r\n\r\n",
		 id);
	if (!rig_send(fd, head, strlen(head)) && !rig_send_filling(fd, 10))
		rig_receive(fd, rig_now_ms() + 4500, &result);
	close(fd);
	return result.status == 200 ? result.body_bytes : 0;
}

int main(int argc, char **argv)
{
	char id[RIG_ID_MAX];
	int64_t confirmed_ms;
	int sent = 0;
	int by_new = 0;
	int by_old = 0;

	rig_init(argc > 1 ? argv[1] : "review/5");
	rig_start_store();
	/* Names of different lengths tell the services apart. */
	for (int i = 0; i < SERVICES; i++) {
		snprintf(upstream[i].instance, sizeof(upstream[i].instance),
			 "i-7f3a91c%d", i);
		snprintf(upstream[i].service, sizeof(upstream[i].service),
			 "huvo%.*s", i + 1, "aaaaaaaaaaaa");
		upstream[i].serve = serve;
	}
	put_manifest(7, upstream[0].service, 2);
	for (int i = 0; i < SERVICES; i++)
		rig_start_upstream(&upstream[i]);
	rig_start_vms(VMS);
	if (send_request(0, "first") != strlen(upstream[0].service))
		return rig_finish(RIG_NO_RUN);
	put_manifest(9, upstream[1].service,
		     rig_has_trouble() ? PARTS : PARTS_WITHOUT_TROUBLE);
	confirmed_ms = rig_now_ms();
	rig_sleep_ms(APPLY_MS + 100);
	while (rig_now_ms() < confirmed_ms + APPLY_MS + AFTER_MS) {
		size_t len;

		snprintf(id, sizeof(id), "%016x", ++sent);
		len = send_request(sent % VMS, id);
		by_new += len == strlen(upstream[1].service);
		by_old += len == strlen(upstream[0].service);
		if (len == strlen(upstream[0].service) && by_old <= VMS)
			rig_note("request %s at VM %d, %d ms after the "
				 "confirmation: run by the old service",
				 id, sent % VMS,
				 (int)(rig_now_ms() - confirmed_ms));
		rig_sleep_ms(PAUSE_MS);
	}
	rig_note("requests sent later than %d ms after the confirmation %d, "
		 "run by the new service %d, by the old one %d",
		 APPLY_MS, sent, by_new, by_old);
	if (!by_new && !by_old)
		return rig_finish(RIG_NO_RUN);
	return rig_finish(by_old > STALE_MAX ? RIG_BROKEN : RIG_HELD);
}
