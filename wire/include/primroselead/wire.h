#ifndef PRIMROSELEAD_WIRE_H
#define PRIMROSELEAD_WIRE_H

#include <glib.h>
#include <primroselead/address.h>
#include <primroselead/loop.h>
#include <primroselead/messages.h>

/*
 * ONC RPC between VMs over UDP, without a thread that waits: calls are
 * answered by a callback from the loop. Messages come from wire/def/wire.x.
 */

/** Largest datagram in bytes. */
#define WIRE_DATAGRAM_MAX 60000

/** Arguments of a call, by procedure. */
struct wire_args {
	/** WIRE_PROBE and the like. */
	uint32_t proc;
	union {
		struct wire_probe probe;
		struct wire_indirect indirect;
		struct wire_delta push;
		struct wire_pull pull;
		struct wire_claim claim;
		struct wire_borrow borrow;
		struct wire_return give_back;
		struct wire_cold cold;
	} u;
};

/** Result of a call, by procedure. */
struct wire_result {
	uint32_t proc;
	union {
		/** Of WIRE_PROBE and WIRE_INDIRECT. */
		struct wire_ack ack;
		/** Of WIRE_PULL. */
		struct wire_delta delta;
		/** Of WIRE_CLAIM. */
		struct wire_verdict verdict;
		/** Of WIRE_BORROW. */
		struct wire_loan loan;
	} u;
};

/** A call that came in; kept by value until it is answered. */
struct wire_request {
	uint32_t xid;
	uint32_t proc;
	struct sockaddr_storage from;
	socklen_t from_len;
};

struct wire_node;

/** An outgoing call, while it waits for its answer. */
struct wire_call {
	struct wire_node *node;
	uint32_t xid;
	uint32_t proc;
	struct sockaddr_storage to;
	socklen_t to_len;
	/** When it fails. */
	int64_t deadline;
	/** When it is sent again; PRL_NEVER if it isn't repeated. */
	int64_t repeat_at;
	int64_t repeat_ms;
	char *bytes;
	size_t len;
	/** Called once with the result, or with null if there was none. */
	void (*done)(void *ctx, const struct wire_result *result);
	/** Called in its place if the node is closed first; may be null. */
	void (*discard)(void *ctx);
	void *ctx;
};

/** One VM's socket for calls and answers. */
struct wire_node {
	struct loop *loop;
	struct loop_fd fd;
	struct loop_timer timer;
	GHashTable *calls;
	uint32_t next_xid;
	/** Called for each valid call; arguments are good until it returns. */
	void (*handle)(void *ctx, const struct wire_request *r,
		       const struct wire_args *args);
	void *ctx;
	/** Datagrams and bytes, for metrics. */
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	/** Datagrams that were no valid message. */
	uint64_t rejected;
	char buffer[WIRE_DATAGRAM_MAX + 1];
};

/** Binds the socket. Returns PRL_OK or PRL_E_IO. */
enum prl_code wire_init(struct wire_node *n, struct loop *l,
			const char *address,
			void (*handle)(void *ctx, const struct wire_request *r,
				       const struct wire_args *args),
			void *ctx, struct prl_error *err);

/** Closes the socket; calls that wait are discarded. */
void wire_finish(struct wire_node *n);

/** What a call asks for beside its arguments. */
struct wire_options {
	/** Point of prl_now_ms at which the call fails. */
	int64_t deadline;
	/** Time between repetitions in ms; 0 sends it once. */
	int64_t repeat_ms;
	/** May be null. */
	void (*done)(void *ctx, const struct wire_result *result);
	/** Frees the context if the node is closed first; may be null. */
	void (*discard)(void *ctx);
	void *ctx;
};

/**
 * Sends a call to an address. Returns PRL_OK, and then done is called once;
 * or PRL_E_LIMIT if it does not fit a datagram, PRL_E_IO or PRL_E_MEMORY.
 */
enum prl_code wire_call(struct wire_node *n, const char *to,
			const struct wire_args *args,
			const struct wire_options *o, struct prl_error *err);

/** Answers a call. */
enum prl_code wire_reply(struct wire_node *n, const struct wire_request *r,
			 const struct wire_result *result,
			 struct prl_error *err);

/** Size of arguments once encoded, in bytes. */
size_t wire_args_size(const struct wire_args *args);

/**
 * Decodes a call from a datagram. Returns 0, or -1 if it is not one of this
 * protocol. What the arguments point to is freed by wire_args_free.
 */
int wire_decode_call(char *data, size_t len, struct wire_request *r,
		     struct wire_args *args);

/** Frees decoded arguments. */
void wire_args_free(struct wire_args *args);

/** Hands a datagram to the network; tests put a lossy one in its place. */
void wire_transmit(int fd, const void *data, size_t len,
		   const struct sockaddr_storage *to, socklen_t to_len);

#endif
