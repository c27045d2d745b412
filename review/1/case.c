/* Requests with many header fields, within max_header_bytes: the upstream runs
 * them and answers, and the VM closes the connection without the answer. */
#include "../rig.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The manifest's limit on a request's head, in bytes. */
#define HEADER_BYTES_MAX 16384

/* Size of a header field with its line end, in bytes, and the numbers of fields
 * that the callers send; without the trouble they send fewer. */
#define FIELD_BYTES_MIN 58
#define FIELD_BYTES_MAX 62
#define FIELDS_MIN 200
#define FIELDS_MAX 275
#define FIELDS_WITHOUT_TROUBLE 100

/* Requests on kept connections that may end without an answer. */
#define LOST_MAX 3

/* Time in which an answer must come, in ms. */
#define ANSWER_MAX_MS 4500

#define UPSTREAMS 3

static struct rig_upstream upstream[UPSTREAMS];

static int serve(const struct rig_request *r)
{
	if (rig_read_body(r) < 0)
		return -1;
	rig_count_run(r);
	return rig_answer(r, 200, "3e1b.07.5a2.600.0.c9f2a4d1",
			  "X-Server-Load: 1,0,6\r\n", "{\"accepted\":true}");
}

static void put_manifest(void)
{
	rig_put("config/main",
		"{\"version\":7,\"routes\":{\"r-accept\":{"
		"\"host\":\"ficu95.example\",\"path_prefix\":\"/pufi791/\","
		"\"kind\":\"unsafe\",\"timeout_ms\":2500,"
		"\"target_latency_ms\":600,\"priority\":1,"
		"\"service\":\"huvo11a\",\"max_attempts\":2,"
		"\"sticky_sessions\":true,\"home_regions\":[]}},"
		"\"services\":{\"huvo11a\":{\"health_check_path\":\"/health\","
		"\"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,"
		"\"cold_start_s\":0.1,\"cold_per_s\":6.9}},"
		"\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000}}");
}

/* Writes a request's head. Returns its length. */
static size_t write_head(char *out, const char *id, int nfield, int field_bytes)
{
	char *at = out;

	at += sprintf(at,
		      "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
		      "X-Request-Id: %s\r\nX-Affinity-Key: 17\r\n"
		      "X-Deadline-Remaining-Ms: 4000\r\nContent-Length: 10\r\n",
		      id);
	for (int i = 0; i < nfield; i++) {
		int n = sprintf(at, "X-Trace-%d: ", i);

		memset(at + n, 'v', (size_t)(field_bytes - n - 2));
		strcpy(at + field_bytes - 2, "\r\n");
		at += field_bytes;
	}
	at = stpcpy(at, "\r\n");
	return (size_t)(at - out);
}

/* Sends a request and waits for its answer. */
static void send_request(int fd, const char *head, size_t len,
			 struct rig_result *out)
{
	memset(out, 0, sizeof(*out));
	out->end = RIG_CLOSED;
	if (rig_send(fd, head, len) || rig_send_filling(fd, 10))
		return;
	rig_receive(fd, rig_now_ms() + ANSWER_MAX_MS, out);
}

struct counts {
	int sent;
	int served;
	int lost;
	int rejected;
};

/* Sends a small request and, over the same connection, a large one. */
static void try_request(int vm, int nfield, int field_bytes, struct counts *c)
{
	static char head[2 * HEADER_BYTES_MAX];
	struct rig_result result;
	char id[RIG_ID_MAX];
	int fd = rig_connect(rig_vm_port(vm));
	size_t len;

	if (fd < 0)
		return;
	snprintf(id, sizeof(id), "%08x%08x", c->sent, 0);
	len = write_head(head, id, 1, 40);
	send_request(fd, head, len, &result);
	snprintf(id, sizeof(id), "%08x%08x", c->sent, nfield);
	len = write_head(head, id, nfield, field_bytes);
	if (result.status == 200 && len <= HEADER_BYTES_MAX) {
		int runs;

		c->sent++;
		send_request(fd, head, len, &result);
		runs = rig_runs_of(id);
		c->served += result.end == RIG_ANSWERED && result.status == 200;
		c->rejected += result.status == 431;
		c->lost += result.end != RIG_ANSWERED && runs > 0;
		if (result.end != RIG_ANSWERED || result.status != 200)
			rig_note("request %s at VM %d, %d fields, head of %zu "
				 "bytes: run %d times, %s, status %d",
				 id, vm, nfield, len, runs,
				 rig_end_name(result.end), result.status);
	}
	close(fd);
}

int main(int argc, char **argv)
{
	struct counts c = {0};
	int trouble;

	rig_init(argc > 1 ? argv[1] : "review/1");
	trouble = rig_has_trouble();
	rig_start_store();
	put_manifest();
	for (int i = 0; i < UPSTREAMS; i++) {
		snprintf(upstream[i].instance, sizeof(upstream[i].instance),
			 "i-7f3a91c%d", i);
		strcpy(upstream[i].service, "huvo11a");
		upstream[i].serve = serve;
		rig_start_upstream(&upstream[i]);
	}
	rig_start_vms(2);
	for (int bytes = FIELD_BYTES_MIN; bytes <= FIELD_BYTES_MAX; bytes++)
		for (int n = FIELDS_MIN; n <= FIELDS_MAX; n++)
			try_request(n % 2,
				    trouble ? n : n % FIELDS_WITHOUT_TROUBLE,
				    bytes, &c);
	rig_note("requests sent on kept connections %d, served %d, run and "
		 "closed without an answer %d, rejected with 431 %d",
		 c.sent, c.served, c.lost, c.rejected);
	if (!c.served)
		return rig_finish(RIG_NO_RUN);
	return rig_finish(c.lost > LOST_MAX ? RIG_BROKEN : RIG_HELD);
}
