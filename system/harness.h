#ifndef SYSTEM_HARNESS_H
#define SYSTEM_HARNESS_H

#include "http.h"
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Harness of the system tests: runs the daemons and the stand-ins as child
 * processes on loopback and sends them HTTP requests. A failure to set up a
 * test aborts the test program.
 */

/** First digit of the five of all ports, so that two work trees can run their
 * tests side by side ("make check TEST_PORTS=1"). */
#ifndef TEST_PORTS
#define TEST_PORTS 2
#endif

/** A port by its last four digits. */
#define TEST_PORT(n) (TEST_PORTS * 10000 + (n))

/** Beginning of an address up to the last four digits of its port. */
#define LOOPBACK "127.0.0.1:" TEST_TEXT(TEST_PORTS)
#define TEST_TEXT(number) TEST_TEXT_OF(number)
#define TEST_TEXT_OF(number) #number

/** Maximum number of processes that one test program has at a time. */
#define PROCESSES_MAX 64

/** Locates the build's programs from the path of the test program, and creates
 * the work directory. Call it first. */
void harness_init(const char *argv0);

/** Kills all processes that still run. With KEEP in the environment, prints the
 * path of the work directory. */
void harness_finish(void);

/** Starts a program of the build with a null-terminated array of up to 30
 * arguments. Its output goes to a log file in the work directory. */
pid_t harness_spawn(const char *program, const char *const *args);

/** Sends a signal and waits for the process to exit. Returns its exit status,
 * or the negative number of the signal that killed it. */
int harness_kill(pid_t pid, int sig);

/** Sends a signal to one or two processes (b may be 0) after a delay, while the
 * test goes on. One such call is pending at a time. */
void harness_signal_later(pid_t a, pid_t b, int sig, int delay_ms);

/** Whether the process has exited; it is not waited for then. */
int harness_has_ended(pid_t pid);

/** Waits for the process to exit. Returns as harness_kill does. */
int harness_wait(pid_t pid);

/** Runs a program of the build with up to 30 arguments, terminated by NULL.
 * Copies up to size - 1 bytes of standard output and standard error to out,
 * null-terminated. Returns as harness_kill does. */
int harness_run(char *out, size_t size, const char *program, ...)
	__attribute__((sentinel));

/** Path of a file in the work directory. Valid until the fourth call after. */
const char *harness_path(const char *name);

/** Creates or replaces a file in the work directory. */
void harness_write_file(const char *name, const char *text);

/** Integer value of the first occurrence of a key in a JSON text; -1 if the key
 * is absent. */
int64_t harness_json_int(const char *json, const char *key);

void harness_sleep_ms(int ms);

/** Peak of a process's resident memory in KB; -1 if not known. */
long harness_peak_kb(pid_t pid);

/** Value of a counter on a VM's metrics page; -1 if it is absent. */
int64_t harness_metric(int http_port, const char *name);

/** Starts a stand-in store and waits until it responds. */
pid_t fleet_start_store(int port);

/** Starts a stand-in upstream with this many request slots, and waits until it
 * responds. */
pid_t fleet_start_upstream(int port, int slots);

/** Configuration of one VM of a test fleet. VMs 1 and 2 are the seeds. */
struct vm_config {
	/** The VM is named vmN; it listens for HTTP on port_base + number and
	 * for RPC on port_base + 100 + number. */
	int number;
	int port_base;
	int store_port;
	const char *region;
	const char *domain;
	/** Further lines of the section "listen", or NULL. */
	const char *extra_listen_lines;
	/** Further sections; NULL for a drain time of 500 ms. */
	const char *extra_settings;
	/** Program of the build; NULL for primroseleadd. */
	const char *program;
};

/** Starts a VM. Does not wait until it responds. */
pid_t fleet_start_vm(const struct vm_config *vm);

/** Waits until a VM is live and has installed at least this revision. Returns
 * 1, or 0 on timeout. */
int fleet_wait_revision(int http_port, int64_t revision, int timeout_ms);

/** Waits until the body at a URL contains a text. Returns 1; 0 on timeout. */
int fleet_wait_text(const char *url, const char *text, int timeout_ms);

#endif
