#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <primroselead/wire.h>

/** Encodes a call. Returns its length in bytes, or 0 if it does not fit. */
size_t wire_encode_call(char *data, size_t size, uint32_t xid,
			const struct wire_args *args);

/** Encodes a reply. Returns its length in bytes, or 0 if it does not fit. */
size_t wire_encode_reply(char *data, size_t size, uint32_t xid,
			 const struct wire_result *result);

/**
 * Decodes the reply to a call of result->proc. Returns 0, or -1 if the reply is
 * not valid or reports an error. A decoded result is freed by
 * wire_result_free().
 */
int wire_decode_reply(char *data, size_t len, struct wire_result *result);

/** Frees a decoded result. */
void wire_result_free(struct wire_result *result);

/** Reads the transaction id and the direction of a datagram. Returns 0, or -1
 * if it is too short. */
int wire_decode_header(const char *data, size_t len, uint32_t *xid,
		       int *is_reply);

#endif
