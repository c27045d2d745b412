#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stddef.h>
#include <stdint.h>

/*
 * What the cases share: the stand-in store and daemons of the deploy file as
 * child processes on loopback, upstreams as threads, and callers' connections.
 * A failure to set up a case ends the program with status RIG_NO_RUN.
 */

/** Exit statuses of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NO_RUN 2

/** Size of a request's id, with its end. */
#define RIG_ID_MAX 64

/** Most VMs of a case. */
#define RIG_VMS_MAX 4

/** Opens the record in the case's folder, and makes sure that the case and all
 * its processes end within two minutes. */
void rig_init(const char *folder);

/** Whether the disruption is to be made: not with TROUBLE=0. */
int rig_has_trouble(void);

/** Ends all processes, and returns "status". */
int rig_finish(int status);

/** Adds a line to the record, with the time since the start. */
void rig_note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Time on the monotonic clock, in ms. */
int64_t rig_now_ms(void);

void rig_sleep_ms(int ms);

/** Returns a free port of the loopback address. */
int rig_free_port(void);

/** Starts the stand-in store. */
void rig_start_store(void);

/** Writes an object to the store as the operator or an upstream does. */
void rig_put(const char *key, const char *value);

/** Starts VMs 0 to n - 1 and waits until all of them are ready. */
void rig_start_vms(int n);

/** Port on which a VM takes callers' connections. */
int rig_vm_port(int vm);

/** Sends SIGTERM to a VM and waits for its end. Returns how it ended, as text.
 */
const char *rig_stop_vm(int vm);

/** A request as it came to an upstream. */
struct rig_request {
	int fd;
	const struct rig_upstream *upstream;
	char method[16];
	char target[256];
	char id[RIG_ID_MAX];
	/** Value of Content-Length; -1 if the body is sent in chunks. */
	int64_t length;
};

/** An upstream: a server that runs in this process. */
struct rig_upstream {
	char instance[32];
	char service[32];
	/** Called for each request, but for health checks, once its head has
	 * come. Returns 0; or -1 to close the connection. */
	int (*serve)(const struct rig_request *r);
	int port;
	int listener;
	/** Time of the start in Unix ms; 0 before it. */
	int64_t born;
	/** Connections are closed and refused. */
	_Atomic int is_down;
};

/** Starts an upstream and registers it in the store. */
void rig_start_upstream(struct rig_upstream *u);

/** Resets all connections of an upstream, refuses new ones for a time, then
 * starts it again under the same name. Returns at once. */
void rig_crash_upstream(const struct rig_upstream *u, int down_ms);

/** Reads a request's body. Returns its length, or -1 if it broke off. */
int64_t rig_read_body(const struct rig_request *r);

/** Sends a response with a body of text and, unless it is null, a stamp.
 * "more" has further header lines. Returns 0, or -1. */
int rig_answer(const struct rig_request *r, int status, const char *stamp,
	       const char *more, const char *body);

/** Notes that an upstream began to run a request, and how often it was. */
void rig_count_run(const struct rig_request *r);
int rig_runs_of(const char *id);

/** How a caller's request ended. */
enum rig_end {
	RIG_ANSWERED,
	/** The connection was closed before any answer. */
	RIG_CLOSED,
	/** The answer broke off. */
	RIG_CUT,
	/** There was no answer in time; the connection is still open. */
	RIG_SILENT,
};

const char *rig_end_name(enum rig_end end);

/** A caller's answer. */
struct rig_result {
	enum rig_end end;
	int status;
	int has_stamp;
	char id[RIG_ID_MAX];
	size_t body_bytes;
};

/** Connects to a port of the loopback address. Returns a socket, or -1. */
int rig_connect(int port);

/** Sends bytes. Returns 0, or -1 if the connection has ended. */
int rig_send(int fd, const char *data, size_t len);

/** Sends "len" bytes of filling. Returns 0, or -1. */
int rig_send_filling(int fd, size_t len);

/** Waits for the answer until a point in time. */
void rig_receive(int fd, int64_t until_ms, struct rig_result *out);

/** Whether the other side has sent something or has closed. */
int rig_is_readable(int fd);

#endif
