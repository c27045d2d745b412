#ifndef SYSTEM_PATH_H
#define SYSTEM_PATH_H

#include "harness.h"

/*
 * Fixture for the path of a request from caller to upstream: three VMs in two
 * regions configured by service files, a stand-in store, and three stand-in
 * upstreams of service "s", two in region norte and one in sur.
 */

#define STORE_PORT TEST_PORT(7000)
#define PORT_BASE TEST_PORT(7100)
#define UPSTREAM_PORT_BASE TEST_PORT(7300)
#define VM1_URL "http://" LOOPBACK "7101"

/** Process ids of the VMs, indexed by VM number from 1, and of the upstreams,
 * indexed from 0. */
extern pid_t path_vm_pid[4];
extern pid_t path_upstream_pid[3];

/** Configuration of VM 2, for tests that restart it. */
extern const struct vm_config path_vm2_config;

/** Output of the command or body of the response in the last call below. */
extern char path_output[65536];

/** Service file with a deadline of 8 s; and with one of 60 s, for bodies of
 * 64 MiB under a sanitizer on a busy machine. */
extern const char path_service[];
extern const char path_long_deadline_service[];

/** Start and stop the fleet; fixtures of a cmocka test group. */
int path_setup(void **state);
int path_teardown(void **state);

/** Publishes a service file. Returns the exit status of the command. */
int path_publish(const char *text);

/** Version of the last publication by path_publish, from its output; -1 if the
 * output names none. */
int64_t path_published_version(void);

/** Publishes a service file and waits up to 15 s for each VM to install it.
 * Returns 0, or -1 on failure. */
int path_publish_and_wait(const char *text);

/** Sets faults of the store by query arguments of /admin/faults. Returns the
 * HTTP status code. */
int path_set_store_faults(const char *query);

/** Sets the behaviour of upstream i by query arguments of /admin/set. */
void path_set_upstream(int i, const char *query);

/** Value of a key in the statistics of upstream i. */
int64_t path_upstream_stat(int i, const char *key);

/** Number of requests with this idempotency key that the upstreams ran. */
int path_runs_of_key(const char *key);

/** Sends POST /accept, which must not run twice, to a VM by number. */
struct http_response path_post_accept(int vm, const char *key);

/** Sends POST /accept until the status is 200, at most until the pauses between
 * attempts add up to pauses_ms: a key is released only after the claim log
 * records that its request did not run. Returns the last response. */
struct http_response path_retry_accept(int vm, const char *key, int pauses_ms);

/** Runs the load tool against VMs 1 and 2 with up to 7 further arguments,
 * terminated by NULL. Fails the test if a response was truncated or had the
 * wrong body. */
void path_run_load(const char *const *more);

#endif
