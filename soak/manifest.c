/* The manifest of the soak: the routes of the fixture, which need no key, and
 * routes of two workspaces. */
#include "soak.h"
#include <stdio.h>

static const char format[] =
	"{\"version\":%d,\"routes\":{"
	"\"a\":{\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":500,"
	"\"priority\":2,\"service\":\"s\",\"max_attempts\":2,"
	"\"sticky_sessions\":true,\"public\":true},"
	"\"b\":{\"host\":\"h.example\",\"path_prefix\":\"/once/\","
	"\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":500,"
	"\"priority\":1,\"service\":\"s\",\"max_attempts\":2,\"public\":true},"
	"\"c\":{\"host\":\"h.example\",\"path_prefix\":\"/up/\","
	"\"kind\":\"upload\",\"timeout_ms\":20000,\"target_latency_ms\":500,"
	"\"priority\":1,\"service\":\"s\",\"max_attempts\":2,\"public\":true},"
	"\"d\":{\"host\":\"h.example\",\"path_prefix\":\"/keyed/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":500,"
	"\"priority\":2,\"service\":\"s\",\"max_attempts\":2}},"
	"\"services\":{\"s\":{\"max_connections\":100,"
	"\"health_check_path\":\"/health\",\"cold_start_s\":0,"
	"\"cold_per_s\":5},"
	"\"t\":{\"max_connections\":4,\"cold_start_s\":0,\"cold_per_s\":5},"
	"\"empty\":{}},"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":{"
	"\"acme\":{\"api_keys\":[\"" SOAK_KEY_KEPT "\"%s]},"
	"\"birch\":{\"api_keys\":[\"" SOAK_KEY_QUOTA "\"],"
	"\"requests_per_s\":%d,\"burst_size\":%d}}}";

void soak_write_manifest(struct soak *s, int group)
{
	char text[sizeof(format) + 100];

	g_rec_mutex_lock(&s->entries_lock);
	snprintf(text, sizeof(text), format, s->manifest_version,
		 s->is_key_given ? ",\"" SOAK_KEY_GIVEN_AT_TIMES "\"" : "",
		 SOAK_QUOTA_PER_S, SOAK_QUOTA_BURST);
	routes_use_store(soak_store_port(group));
	routes_put_object("config/main", text);
	g_rec_mutex_unlock(&s->entries_lock);
}

void soak_change_manifest(struct soak *s)
{
	g_rec_mutex_lock(&s->entries_lock);
	s->manifest_version += 2;
	for (int group = 0; group < SOAK_GROUPS; group++)
		soak_write_manifest(s, group);
	g_rec_mutex_unlock(&s->entries_lock);
}

void soak_change_key(struct soak *s)
{
	g_rec_mutex_lock(&s->entries_lock);
	s->is_key_given = !s->is_key_given;
	soak_change_manifest(s);
	g_rec_mutex_unlock(&s->entries_lock);
}
