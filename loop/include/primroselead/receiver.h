#ifndef PRIMROSELEAD_RECEIVER_H
#define PRIMROSELEAD_RECEIVER_H

#include <primroselead/header_list.h>
#include <primroselead/response_head.h>

/*
 * Receives the response of one transfer into memory, for clients that judge a
 * response once it is whole. Nothing of it may be used before receiver_result
 * has returned CURLE_OK.
 */

/** A response; empty after receiver_init. */
struct receiver {
	struct response_head head;
	/** Fields of the head, "name: value" without the line end. */
	struct header_list fields;
	/** Body, which a null byte follows; null if it is empty. */
	char *body;
	size_t body_len;
	/** Bytes of all heads and of the body, and their maximum. */
	size_t received_bytes;
	size_t max_bytes;
};

/** Prepares for a response of at most "max_bytes", heads included. */
void receiver_init(struct receiver *r, size_t max_bytes);

/**
 * Makes a transfer deliver its response to the receiver, over a connection of
 * its own: responses without the id of their request can't be told from an
 * earlier one that comes late on a connection that is kept.
 */
void receiver_attach(struct receiver *r, CURL *easy);

/** Returns the result of the transfer, given libcurl's: CURLE_OK only if the
 * response is whole. */
CURLcode receiver_result(const struct receiver *r, CURLcode result);

/** Frees what was received. */
void receiver_finish(struct receiver *r);

#endif
