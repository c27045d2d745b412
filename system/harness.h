#ifndef SYSTEM_HARNESS_H
#define SYSTEM_HARNESS_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Starts the daemons and the stand-ins as processes on loopback, talks to them
 * over HTTP, and ends what it started, by pid.
 */

/** Most processes of one test. */
#define PROCESSES_MAX 64

/** An answer. */
struct http_response {
	/** 0 if there was none. */
	int status;
	/** Value of the header Request-Outcome. */
	char outcome[16];
	/** Value of the header First-Status; 0 if there is none. */
	int first_status;
	/** Value of the header Retry-After; negative if there is none. */
	double retry_after_s;
	/** An upstream marked it as its own. */
	int has_server_stamp;
	/** The beginning of the body. */
	char body[8192];
	size_t body_len;
};

/** A request. */
struct http_request {
	const char *method;
	const char *url;
	const char *host;
	const char *idempotency_key;
	const char *body;
	/** More header lines, up to a null; may be null. */
	const char *const *headers;
	/** Length of a body of zeros, sent at this rate in bytes a second (0:
	 * as fast as it goes), in place of "body". */
	long long upload_bytes;
	long upload_bytes_per_s;
	long timeout_ms;
};

/** Finds the programs beside the test's own one, and makes a directory. */
void harness_init(const char *argv0);

/** Ends all processes that are left. */
void harness_finish(void);

/** Starts a program of the build; its output goes to a file. */
pid_t harness_spawn(const char *program, const char *const *args);

/** Sends a signal, waits for the end; returns the exit status, or -signal. */
int harness_kill(pid_t pid, int sig);

/** Waits for the end; returns the exit status, or -signal. */
int harness_wait(pid_t pid);

/** Runs a program to its end; its output is copied. Returns its status. */
int harness_run(char *out, size_t size, const char *program, ...)
	__attribute__((sentinel));

/** Makes a request. */
struct http_response harness_send_request(const struct http_request *req);

/** Opens a connection to a port of loopback. Returns the socket, or -1. */
int harness_connect(int port);

/** GET of a URL; returns the status and copies the body. */
int harness_get(const char *url, char *out, size_t size);

/** Path of a file in the test's directory. */
const char *harness_path(const char *name);

/** Writes a file into the test's directory. */
void harness_write_file(const char *name, const char *text);

/** Number behind a key of a flat JSON text; -1 if there is none. */
int64_t harness_json_int(const char *json, const char *key);

/** Sleeps. */
void harness_sleep_ms(int ms);

/** Number of a counter of a VM. */
int64_t harness_metric(int http_port, const char *name);

/** Starts the store on a port; waits until it answers. */
pid_t fleet_start_store(int port);

/** Starts an upstream. */
pid_t fleet_start_upstream(int port, int slots);

/** Settings of one VM of a test fleet. */
struct vm_config {
	/** Its number; HTTP on base + n, RPC on base + 100 + n. */
	int number;
	int port_base;
	int store_port;
	const char *region;
	const char *domain;
	/** More lines of its section "listen", or null. */
	const char *extra_listen_lines;
	/** More lines of settings, or null. */
	const char *extra_settings;
};

/** Starts a VM. */
pid_t fleet_start_vm(const struct vm_config *vm);

/** Waits until a VM has a revision at least this high in force. Returns 1, or
 * 0 after the given time. */
int fleet_wait_revision(int http_port, int64_t revision, int ms);

/** Waits until a URL's text holds another one. Returns 1 or 0. */
int fleet_wait_text(const char *url, const char *text, int ms);

#endif
