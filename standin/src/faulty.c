#include "faulty.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Longest pause before a late copy or a reset, in ms. */
#define DELAY_MAX_MS 30

#define ID "X-Request-Id: %1$s\r\n"
#define STAMP "X-Server-Stamp: s-%1$s\r\n"
#define NOT_RUN "X-Not-Executed: 1\r\n"
#define LENGTH "Content-Length: %3$u\r\n"
#define EMPTY "Content-Length: 0\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define FULL "HTTP/1.1 503 Full\r\n"
#define BODY "%1$s at %2$s\n"

/* Kinds of response; id, instance and the length of the body are arguments. */
static const struct kind {
	int runs;
	int has_body;
	int ends_with_connection;
	const char *format;
} kinds[] = {
	{1, 1, 0, OK ID STAMP LENGTH "\r\n" BODY},
	{1, 1, 0, OK LENGTH STAMP ID "X-Server-Load: 1,0,6\r\n\r\n" BODY},
	{1, 1, 0,
	 OK STAMP ID "Transfer-Encoding: chunked\r\n\r\n"
		     "%3$x\r\n" BODY "\r\n0\r\n\r\n"},
	{1, 1, 0,
	 OK ID STAMP "Transfer-Encoding: chunked\r\n\r\n"
		     "%3$x\r\n" BODY "\r\n0\r\n" NOT_RUN
		     "X-Request-Id: of-another\r\n\r\n"},
	{1, 1, 1, OK STAMP ID "\r\n" BODY},
	{1, 1, 0,
	 "HTTP/1.1 100 Continue\r\n\r\n" OK ID STAMP LENGTH "\r\n" BODY},
	{1, 1, 0,
	 "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" NOT_RUN
	 "\r\n" OK STAMP ID LENGTH "\r\n" BODY},
	{1, 1, 0, "HTTP/1.1 500 Failed\r\n" STAMP ID LENGTH "\r\n" BODY},
	{1, 1, 0, "HTTP/1.1 503 Busy\r\n" ID LENGTH "\r\n" BODY},
	{1, 0, 0, "HTTP/1.1 204 No Content\r\n" STAMP ID "\r\n"},
	{0, 0, 0, FULL ID NOT_RUN EMPTY "\r\n"},
	{0, 1, 0, FULL NOT_RUN LENGTH ID "\r\n" BODY},
	{0, 1, 0, "HTTP/1.1 429 Slow\r\n" ID LENGTH NOT_RUN "\r\n" BODY},
	{0, 0, 0, "HTTP/1.1 421 Misdirected\r\n" ID EMPTY "\r\n"},
	{0, 0, 0, FULL NOT_RUN EMPTY "\r\n"},
	{0, 0, 0, "HTTP/1.1 421 Misdirected\r\n" EMPTY "\r\n"},
};

/* Responses to HEAD. */
static const struct kind head_kinds[] = {
	{1, 0, 0,
	 OK ID STAMP "Content-Length: 20\r\n"
		     "\r\n"},
	{1, 0, 0, OK "Content-Length: 20\r\n" STAMP ID "\r\n"},
	{0, 0, 0, FULL ID NOT_RUN EMPTY "\r\n"},
};

static const struct kind *draw_kind(GRand *random, int is_head)
{
	if (is_head)
		return &head_kinds[g_rand_int_range(random, 0,
						    G_N_ELEMENTS(head_kinds))];
	return &kinds[g_rand_int_range(random, 0, G_N_ELEMENTS(kinds))];
}

static size_t format(const struct kind *k, const struct faulty_request *q,
		     char *out)
{
	unsigned int body_len =
		(unsigned int)snprintf(NULL, 0, BODY, q->id, q->instance);
	int n = snprintf(out, FAULTY_BYTES_MAX, k->format, q->id, q->instance,
			 body_len);

	return (size_t)MIN(n, FAULTY_BYTES_MAX - 1);
}

/* Nobody can tell a body that ends with its connection from a longer one that
 * a close cuts; such a body is cut by a reset. */
static void draw_cut(GRand *random, const struct kind *k,
		     struct faulty_response *out)
{
	size_t head_len = 0;

	if (k->ends_with_connection)
		head_len =
			(size_t)(strstr(out->bytes, "\r\n\r\n") - out->bytes) +
			4;
	out->len = (size_t)g_rand_int_range(random, 0, (gint32)out->len);
	out->end = g_rand_boolean(random) ? FAULTY_CLOSE : FAULTY_RESET;
	if (k->ends_with_connection && out->len >= head_len)
		out->end = FAULTY_RESET;
}

/* A beginning or an end of the response, or all of it. */
static void draw_copy(GRand *random, struct faulty_response *out)
{
	size_t part = (size_t)g_rand_int_range(random, 1, (gint32)out->len + 1);

	out->copy = g_rand_boolean(random) ? FAULTY_LATE : FAULTY_WITH_NEXT;
	if (g_rand_boolean(random))
		out->delay_ms = 0;
	out->copy_len = g_rand_boolean(random) ? part : out->len;
	if (g_rand_boolean(random))
		out->copy_at = out->len - out->copy_len;
}

void faulty_draw(const struct faulty_request *q, struct faulty_response *out)
{
	GRand *random =
		g_rand_new_with_seed(q->number ^ g_str_hash(q->instance));
	const struct kind *k = draw_kind(random, q->is_head);

	memset(out, 0, sizeof(*out));
	out->runs = k->runs;
	out->len = format(k, q, out->bytes);
	out->end = k->ends_with_connection ? FAULTY_CLOSE : FAULTY_KEEP;
	out->is_early = g_rand_int_range(random, 0, 4) == 0;
	out->delay_ms = g_rand_int_range(random, 0, DELAY_MAX_MS);
	switch (g_rand_int_range(random, 0, 8)) {
	case 0:
		break;
	case 1:
	case 2:
	case 3:
		draw_cut(random, k, out);
		break;
	default:
		if (!k->ends_with_connection)
			draw_copy(random, out);
	}
	g_rand_free(random);
}
