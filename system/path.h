#ifndef SYSTEM_PATH_H
#define SYSTEM_PATH_H

#include "harness.h"

/*
 * A fleet of three VMs in two regions that follows service files: the stand-in
 * of the store, three upstreams of service "s", and what the cases ask of them.
 */

#define STORE_PORT 27000
#define PORT_BASE 27100
#define UPSTREAM_PORT_BASE 27300
#define VM1_URL "http://127.0.0.1:27101"

/** Processes of the VMs, by number from 1 on, and of the upstreams. */
extern pid_t path_vm_pid[4];
extern pid_t path_upstream_pid[3];

/** How the second VM is started. */
extern const struct vm_config path_vm2_config;

/** What the last call below printed or answered. */
extern char path_output[65536];

/** The service's file; and with a deadline for bodies of 64 MiB where each step
 * is checked and the cores are taken. */
extern const char path_service[];
extern const char path_long_deadline_service[];

/** Starts everything; and ends it. */
int path_setup(void **state);
int path_teardown(void **state);

/** Publishes a file; returns the command's exit status. Its version, or -1. */
int path_publish(const char *text);
int64_t path_published_version(void);

/** Publishes and waits until all VMs have it; returns 0 or -1. */
int path_publish_and_wait(const char *text);

/** Sets faults of the store; returns the status. */
int path_set_store_faults(const char *query);

/** Sets an upstream's behaviour; a figure of it. */
void path_set_upstream(int i, const char *query);
int64_t path_upstream_stat(int i, const char *key);

/** How often any upstream ran a key. */
int path_runs_of_key(const char *key);

/** Sends an acceptance to a VM by number. */
struct http_response path_post_accept(int vm, const char *key);

/** The same again until its key is free and it runs, or the time is over;
 * returns the last answer. */
struct http_response path_retry_accept(int vm, const char *key, int ms);

/** Runs the load tool with more arguments; no answer may be cut or wrong. */
void path_run_load(const char *const *more);

#endif
