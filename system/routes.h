#ifndef SYSTEM_ROUTES_H
#define SYSTEM_ROUTES_H

#include "harness.h"

/*
 * A fleet of two VMs that follows the platform's manifest: the stand-in of the
 * store, two upstreams of service "s" and one of service "t" that misbehave as
 * the path of a request asks, and routes for each kind of request.
 */

/* Time in which an accepted change must be in force everywhere, in ms. */
#define PROPAGATION_MS 2500

#define PORT_BASE 29000
#define STORE_PORT (PORT_BASE + 0)
/* Nothing listens there. */
#define UNUSED_PORT (PORT_BASE + 9)
#define HTTP_PORT(n) (PORT_BASE + (n))
#define LOOKUP_PORT(n) (PORT_BASE + 20 + (n))
#define READY_PORT(n) (PORT_BASE + 40 + (n))
#define METRICS_PORT(n) (PORT_BASE + 60 + (n))
#define UPSTREAM_PORT(n) (PORT_BASE + 200 + (n))

/** Processes of the VMs, by number from 1 on. */
extern pid_t routes_vm_pid[4];

/** Starts everything; and ends it. */
int routes_setup(void **state);
int routes_teardown(void **state);

/** Starts a VM and waits until it is ready; at another store's port. */
void routes_start_vm(int n);
void routes_start_vm_with_store(int n, int store);

/** Writes an object as the platform would; an empty value removes it. */
void routes_put_object(const char *key, const char *value);

/** Writes the manifest; the service is that of the idempotent route. */
void routes_put_manifest(int version, const char *safe_service);

/** Writes an upstream's entry. */
void routes_put_upstream(const char *instance, const char *service, int port,
			 const char *state, int sequence);

/** The same for one that is ready and cold. */
void routes_put_cold_upstream(const char *instance, const char *service,
			      int port, int cold_ms, int sequence);

/** A figure of an upstream; what both of service "s" ran. */
int64_t routes_upstream_stat(int port, const char *name);
int64_t routes_runs_of_s(void);

/** Makes a request at the first VM, or at one by number. */
struct http_response routes_request(const char *method, const char *path);
struct http_response routes_request_at(int n, const char *method,
				       const char *path);

/** Fails the test unless the answer is an upstream's whole one. */
void routes_expect_complete(const struct http_response *resp);

#endif
