#ifndef PROXY_TEST_FIXTURE_H
#define PROXY_TEST_FIXTURE_H

#include <primroselead/metrics.h>
#include <stdint.h>

/*
 * A proxy with one traffic thread in the test's own process, whose view has one
 * service "s" with two upstreams at the scripted server, the routes /safe/,
 * /once/, /open/, which is public, and /near/, whose home is the VM's region,
 * to it, and other VMs at the scripted server.
 */

/** Where the proxy sends requests. */
enum fixture_hop {
	FIXTURE_UPSTREAM,
	/** To another VM, since this one counts as isolated. */
	FIXTURE_PEER,
};

/** Starts the proxy with upstreams and the other VMs at a port. Returns the
 * port that it listens on. */
int fixture_start(int server_port);

/** Puts a view in force that leads requests there. */
void fixture_set_hop(enum fixture_hop hop);

/** Puts a manifest in force whose workspaces are "alpha", with one key, "beta",
 * "homeless" and "remote" with the key "key-of-NAME" each. The last two have a
 * home region that is not known, and one without upstreams. */
void fixture_set_workspaces(const char *key_of_alpha);

/** Port on which the proxy takes requests that other VMs relay. */
int fixture_relay_port(void);

/** Whether the proxy has no request under way. */
int fixture_is_idle(void);

/** Makes both upstreams count as having that many more requests of this VM. */
void fixture_add_outstanding(int n);

/** Value of a counter, of all traffic threads. */
int fixture_counter(enum metric which);

/** Upper bound of the longest time of an attempt that an upstream answered, in
 * us; 0 if there was none. */
int64_t fixture_slowest_upstream_us(void);

/** Requests that the retry budgets of all services have counted. */
int64_t fixture_retry_deposits(void);

/** Sets when the process has to end if a stop signal is pending. */
void fixture_set_end_if_signalled(int64_t end_ms);

/** Ends the requests that wait for an answer, as a planned stop does. */
void fixture_end_requests(void);

void fixture_stop(void);

#endif
