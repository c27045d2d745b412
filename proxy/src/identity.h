#ifndef PROXY_IDENTITY_H
#define PROXY_IDENTITY_H

#include <glib.h>
#include <primroselead/hash.h>
#include <stddef.h>

/*
 * Identity of a request, by which two requests are the same: method, host,
 * path with query, caller and body, but not the id. The caller is known by its
 * credentials, its idempotency key and the object that it names, not by its
 * address, which changes
 * behind other proxies. All VMs derive the same digests from the same request.
 */

/** First bytes of a body that count; the rest counts by its length only. */
#define IDENTITY_BODY_BYTES (512 << 10)

struct proxy_request;

/** What is known of a request's identity; empty when zeroed. */
struct request_identity {
	/** Digest of all but the body. */
	struct prl_hash128 head;
	/** Digest of the bytes of the body that came so far, at most
	 * IDENTITY_BODY_BYTES; null before the first one. */
	GChecksum *body;
	size_t body_bytes;
};

/** Sets the digest of the head; the headers must have been read. */
void identity_set_head(struct proxy_request *r);

/** Adds the next bytes of the body. */
void identity_add_body(struct proxy_request *r, const char *data, size_t n);

/** Whether so much of the body has come that the identity is known. */
int identity_is_known(const struct proxy_request *r);

/** Returns the digest of the whole request; its identity must be known. */
struct prl_hash128 identity_digest(const struct proxy_request *r);

/** Frees what the identity holds. */
void identity_finish(struct request_identity *identity);

/** Size of a digest as text, with its end. */
#define IDENTITY_TEXT_MAX 33

/** Formats the request's digest as hexadecimal text; empty if its identity is
 * not known. */
void identity_format(const struct proxy_request *r,
		     char out[IDENTITY_TEXT_MAX]);

#endif
