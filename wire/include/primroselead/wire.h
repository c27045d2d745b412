#ifndef PRIMROSELEAD_WIRE_H
#define PRIMROSELEAD_WIRE_H

#include <glib.h>
#include <primroselead/address.h>
#include <primroselead/loop.h>
#include <primroselead/messages.h>

/*
 * Asynchronous ONC RPC between VMs over UDP: the event loop calls back with the
 * result of a call. The messages are defined in wire/def/wire.x.
 */

/** Largest datagram that is sent or accepted, in bytes. */
#define WIRE_DATAGRAM_MAX 60000

/** Arguments of a call; the procedure selects the member of the union. */
struct wire_args {
	/** Procedure number: WIRE_PROBE and so on. */
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
		struct wire_news_list news;
		struct wire_isolation isolation;
		struct wire_beat beat;
		struct wire_changes changes;
		struct wire_quarantine quarantine;
		struct wire_load_list loads;
		struct wire_region_loads region_loads;
		struct wire_usage usage;
	} u;
};

/** Result of a call; the procedure selects the member of the union, and
 * WIRE_PUSH, WIRE_RETURN, WIRE_COLD, WIRE_NEWS, WIRE_ISOLATION, WIRE_BEAT,
 * WIRE_CHANGES, WIRE_LOADS and WIRE_REGION_LOADS have none. */
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
		/** Of WIRE_QUARANTINE. */
		struct wire_quarantine quarantine;
		/** Of WIRE_USAGE. */
		struct wire_usage_result usage;
	} u;
};

/** A received call, without its arguments; may be copied to reply later. */
struct wire_request {
	/** Transaction id, which the reply repeats. */
	uint32_t xid;
	uint32_t proc;
	struct sockaddr_storage from;
	socklen_t from_len;
};

struct wire_node;

/** An outgoing call that has no reply yet. */
struct wire_call {
	struct wire_node *node;
	uint32_t xid;
	uint32_t proc;
	struct sockaddr_storage to;
	socklen_t to_len;
	/** Time by prl_now_ms() at which the call fails. */
	int64_t deadline_ms;
	/** Time of the next retransmission; PRL_NEVER if there is none. */
	int64_t retransmit_at_ms;
	/** Interval between retransmissions in ms; 0 for none. */
	int64_t retransmit_ms;
	/** The encoded call and its length in bytes. */
	char *datagram;
	size_t datagram_len;
	/** Called once with the result, or with null at the deadline; may be
	 * null. */
	void (*done)(void *ctx, const struct wire_result *result);
	/** Called instead of "done" if the node is closed first; may be null.
	 */
	void (*discard)(void *ctx);
	void *ctx;
};

/** The RPC endpoint of a VM: a UDP socket that sends and receives calls. */
struct wire_node {
	struct loop *loop;
	struct loop_fd fd;
	struct loop_timer timer;
	/** Calls without a reply, struct wire_call by transaction id. */
	GHashTable *pending_calls;
	uint32_t next_xid;
	/** Called for each valid call received; the arguments are freed after
	 * it returns. */
	void (*handle)(void *ctx, const struct wire_request *r,
		       const struct wire_args *args);
	void *ctx;
	/** Datagrams and bytes sent, retransmissions included, and received. */
	uint64_t sent_datagrams;
	uint64_t sent_bytes;
	uint64_t received_datagrams;
	uint64_t received_bytes;
	/** Received datagrams that were not a valid call, nor the reply to a
	 * pending call from the address that it was sent to. */
	uint64_t rejected_datagrams;
	char buffer[WIRE_DATAGRAM_MAX + 1];
};

/** Binds the socket and adds it to the loop. Returns PRL_OK or PRL_E_IO. */
enum prl_code
wire_node_init(struct wire_node *n, struct loop *l, const char *address,
	       void (*handle)(void *ctx, const struct wire_request *r,
			      const struct wire_args *args),
	       void *ctx, struct prl_error *err);

/** Closes the socket and discards the pending calls. */
void wire_node_finish(struct wire_node *n);

/** Deadline, retransmission and callbacks of a call. */
struct wire_call_options {
	/** Time by prl_now_ms() at which the call fails. */
	int64_t deadline_ms;
	/** Interval between retransmissions in ms; 0 sends the call once. */
	int64_t retransmit_ms;
	/** Called once with the result, or with null at the deadline; may be
	 * null. */
	void (*done)(void *ctx, const struct wire_result *result);
	/** Called instead of "done", to free the context, if the node is closed
	 * first; may be null. */
	void (*discard)(void *ctx);
	void *ctx;
};

/**
 * Sends a call to a numeric address and port. Returns PRL_OK, and then "done"
 * or "discard" is called once; PRL_E_LIMIT if the call does not fit in a
 * datagram, PRL_E_IO if the address is not valid, or PRL_E_MEMORY.
 */
enum prl_code wire_call(struct wire_node *n, const char *to,
			const struct wire_args *args,
			const struct wire_call_options *o,
			struct prl_error *err);

/** Sends a call once, without waiting for a reply. Returns as wire_call does.
 */
enum prl_code wire_notify(struct wire_node *n, const char *to,
			  const struct wire_args *args, struct prl_error *err);

/** Replies to a call. Returns PRL_OK, PRL_E_LIMIT if the reply does not fit in
 * a datagram, or PRL_E_MEMORY. */
enum prl_code wire_reply(struct wire_node *n, const struct wire_request *r,
			 const struct wire_result *result,
			 struct prl_error *err);

/** Returns the encoded size of a call's arguments in bytes. */
size_t wire_args_size(const struct wire_args *args);

/**
 * Decodes a call from a datagram. Returns 0, or -1 if it is not one valid call
 * of this protocol and nothing else. Decoded arguments are freed by
 * wire_args_free().
 */
int wire_decode_call(char *data, size_t len, struct wire_request *r,
		     struct wire_args *args);

/** Frees what decoded arguments point to. */
void wire_args_free(struct wire_args *args);

/** Sends a datagram without blocking. The function has an object file of its
 * own, so that a test can link a version that drops datagrams. */
void wire_transmit(int fd, const void *data, size_t len,
		   const struct sockaddr_storage *to, socklen_t to_len);

#endif
