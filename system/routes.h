#ifndef SYSTEM_ROUTES_H
#define SYSTEM_ROUTES_H

#include "harness.h"

/*
 * Fixture with routes from the platform's manifest: two VMs, a stand-in store,
 * and standin-odd as two upstreams of service "s" and one of service "t", whose
 * behaviour the last segment of the request path selects. The manifest has a
 * route for each kind of request.
 */

/* Time in which all VMs must apply a change of the store, in ms. */
#define PROPAGATION_MS 2500

/** First of the 400 ports of the fixture; may be set before it is started, and
 * is set from ROUTES_PORT_BASE in the environment, so that tests can run side
 * by side. */
extern int routes_port_base;

/** Number of VMs that read the store; may be set before VMs are started. */
extern int routes_readers;

/** Time for which VMs that stop accept connections, in ms; may be set before
 * VMs are started. */
extern int routes_drain_ms;

/** Further lines of the section "traffic", or empty; may be set before VMs are
 * started. */
extern const char *routes_traffic_lines;

/** Further sections of the settings, or empty; may be set before VMs are
 * started. */
extern const char *routes_more_sections;

/** Most VMs of the fixture. */
#define ROUTES_VMS_MAX 8

/** By VM number: the VM is started from the build in service, which does not
 * know all settings. */
extern int routes_is_production[ROUTES_VMS_MAX + 1];

/** By VM number: region of the VM, whose failure domain is "REGION-a"; null
 * for norte. */
extern const char *routes_region[ROUTES_VMS_MAX + 1];

#define PORT_BASE routes_port_base
#define RELAY_PORT(n) (PORT_BASE + 100 + (n))
#define STORE_PORT (PORT_BASE + 0)
/* No process listens on this port. */
#define UNUSED_PORT (PORT_BASE + 9)
#define HTTP_PORT(n) (PORT_BASE + (n))
#define LOOKUP_PORT(n) (PORT_BASE + 20 + (n))
#define READY_PORT(n) (PORT_BASE + 40 + (n))
#define METRICS_PORT(n) (PORT_BASE + 60 + (n))
#define UPSTREAM_PORT(n) (PORT_BASE + 200 + (n))

/** Process ids of the VMs, indexed by VM number from 1. */
extern pid_t routes_vm_pid[ROUTES_VMS_MAX + 1];

/** Start and stop the fleet; fixtures of a cmocka test group. */
int routes_setup(void **state);
int routes_teardown(void **state);

/** Starts a stand-in upstream and waits until it responds. */
pid_t routes_start_upstream(const char *instance, int port);

/** Starts one that is away for a time, under the same name, instead of ending.
 */
pid_t routes_start_returning_upstream(const char *instance, int port,
				      int away_ms);

/** Starts VM n with the store at a port. Does not wait until it is ready. */
pid_t routes_spawn_vm(int n, int store_port);

/** Waits until VM n is ready. Returns 1, or 0 after timeout_ms. */
int routes_wait_ready(int n, int timeout_ms);

/** Starts VM n and waits up to 5 s until it is ready. */
void routes_start_vm(int n);

/** As routes_start_vm, with the store at another port. */
void routes_start_vm_with_store(int n, int store_port);

/** Sets faults of the store; "query" has the arguments of its /admin/faults. */
void routes_set_store_faults(const char *query);

/** Sets the port of the store that the functions below write to; at first
 * STORE_PORT. */
void routes_use_store(int port);

/** Writes an object to the store as the platform does; an empty value deletes
 * it. */
void routes_put_object(const char *key, const char *value);

/** Writes the manifest; safe_service serves the route /safe/. */
void routes_put_manifest(int version, const char *safe_service);

/** Writes an upstream's entry. A VM ignores an entry with an older sequence. */
void routes_put_upstream(const char *instance, const char *service, int port,
			 const char *state, int sequence);

/** Writes the entry of an upstream that is ready and has this many slots. */
void routes_put_slots(const char *instance, const char *service, int port,
		      int slots, int sequence);

/** Writes the entry of an upstream that is ready and stays cold for cold_ms. */
void routes_put_cold_upstream(const char *instance, const char *service,
			      int port, int cold_ms, int sequence);

/** Value of a key in the statistics of the upstream at a port. */
int64_t routes_upstream_stat(int port, const char *name);

/** Number of requests that both upstreams of service "s" ran. */
int64_t routes_runs_of_s(void);

/** Sends a request with a deadline of 4 s to VM 1. */
struct http_response routes_request(const char *method, const char *path);

/** As routes_request, to VM n. */
struct http_response routes_request_at(int n, const char *method,
				       const char *path);

/** Fails the test unless the response is a complete 200 from an upstream. */
void routes_expect_complete(const struct http_response *resp);

#endif
