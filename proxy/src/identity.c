/* Digests by which equal requests are recognised. SHA-256 is used since callers
 * choose what is digested: none may find a request that passes for another's.
 */
#include "identity.h"
#include "request.h"
#include <stdio.h>
#include <string.h>

#define SHA256_BYTES 32

/* Adds a field with its end, so that no two lists of fields are alike. */
static void add_text(GChecksum *sum, const char *text)
{
	if (!text)
		text = "";
	g_checksum_update(sum, (const guchar *)text, (gssize)strlen(text) + 1);
}

static void add_number(GChecksum *sum, uint64_t n)
{
	guchar bytes[sizeof(n)];

	for (size_t i = 0; i < sizeof(n); i++)
		bytes[i] = (guchar)(n >> (8 * i));
	g_checksum_update(sum, bytes, sizeof(bytes));
}

/* Returns the first half of a SHA-256 digest, and frees the checksum. */
static struct prl_hash128 finish_sum(GChecksum *sum)
{
	guint8 bytes[SHA256_BYTES];
	gsize len = sizeof(bytes);

	g_checksum_get_digest(sum, bytes, &len);
	g_checksum_free(sum);
	return prl_digest_read(bytes);
}

void identity_set_head(struct proxy_request *r)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

	add_text(sum, r->method);
	add_text(sum, request_header(r, MHD_HTTP_HEADER_HOST));
	add_text(sum, r->target);
	add_text(sum, request_header(r, MHD_HTTP_HEADER_AUTHORIZATION));
	add_text(sum, request_header(r, MHD_HTTP_HEADER_COOKIE));
	add_text(sum, request_header(r, "Idempotency-Key"));
	add_number(sum, r->request_meta.object_hash);
	if (r->workspace_name[0])
		add_text(sum, r->workspace_name);
	r->identity.head = finish_sum(sum);
}

void identity_add_body(struct proxy_request *r, const char *data, size_t n)
{
	struct request_identity *identity = &r->identity;
	size_t left = IDENTITY_BODY_BYTES - identity->body_bytes;

	if (n > left)
		n = left;
	if (!n)
		return;
	if (!identity->body)
		identity->body = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(identity->body, (const guchar *)data, (gssize)n);
	identity->body_bytes += n;
}

int identity_is_known(const struct proxy_request *r)
{
	return !r->has_body || r->request_body_ended ||
	       r->identity.body_bytes == IDENTITY_BODY_BYTES;
}

/* The same body counts alike with a length and in chunks, unless it is longer
 * than what is digested. */
static uint64_t body_length(const struct proxy_request *r)
{
	if (r->identity.body_bytes < IDENTITY_BODY_BYTES)
		return r->identity.body_bytes;
	return (uint64_t)r->request_length;
}

struct prl_hash128 identity_digest(const struct proxy_request *r)
{
	struct prl_hash128 body = {0};
	GChecksum *sum;

	if (!r->identity.body)
		return r->identity.head;
	body = finish_sum(g_checksum_copy(r->identity.body));
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	add_number(sum, r->identity.head.high);
	add_number(sum, r->identity.head.low);
	add_number(sum, body_length(r));
	add_number(sum, body.high);
	add_number(sum, body.low);
	return finish_sum(sum);
}

void identity_finish(struct request_identity *identity)
{
	if (identity->body)
		g_checksum_free(identity->body);
	identity->body = NULL;
}

void identity_format(const struct proxy_request *r, char out[IDENTITY_TEXT_MAX])
{
	struct prl_hash128 digest;

	out[0] = 0;
	if (!r->routed || !identity_is_known(r))
		return;
	digest = identity_digest(r);
	snprintf(out, IDENTITY_TEXT_MAX, "%016llx%016llx",
		 (unsigned long long)digest.high,
		 (unsigned long long)digest.low);
}
