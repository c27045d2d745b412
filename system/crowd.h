#ifndef SYSTEM_CROWD_H
#define SYSTEM_CROWD_H

#include "routes.h"

/*
 * Crowds of callers that misbehave at one VM whose settings are small, and the
 * checks that follow: the VM's process lives, its memory and descriptors stay
 * within its settings, and an ordinary request is served.
 */

/** Most connections of a crowd. */
#define CROWD_MAX 192

/** Settings of the VM: memory in MB, descriptors, connections a listener. */
#define CROWD_MEMORY_MB 32
#define CROWD_DESCRIPTORS 800
#define CROWD_CONNECTIONS 192

/** Port on which a VM takes requests of other VMs. */
#define RELAY_PORT(n) (PORT_BASE + 100 + (n))

/** Where a crowd comes to. */
enum crowd_door {
	DOOR_ROUTE,
	DOOR_NO_ROUTE,
	DOOR_RELAY,
	DOOR_READY,
	DOOR_LOOKUP,
	DOOR_METRICS,
	DOOR_COUNT,
};

/** Connections of a crowd; -1 where one is closed. */
struct crowd {
	int fd[CROWD_MAX];
	/** Bytes of the text that the VM has taken. */
	size_t sent[CROWD_MAX];
	int n;
};

const char *crowd_door_name(enum crowd_door door);

int crowd_port(enum crowd_door door);

/** Path of a door; "route" is that of DOOR_ROUTE and DOOR_RELAY. */
const char *crowd_path(enum crowd_door door, const char *route);

/** Header lines that requests at a door need, each with its line end. */
const char *crowd_headers(enum crowd_door door);

/** Starts the fleet, whose VM 1 has the settings above. */
int crowd_setup(void **state);

/** Ends VM 1 and starts it again, so that its memory is that of a new one. */
void crowd_restart_vm(void);

/** Opens n connections. */
void crowd_open(struct crowd *c, enum crowd_door door, int n);

/** Sends a text on each connection, until all have taken it or none takes more
 * for a while. Reads nothing. */
void crowd_send(struct crowd *c, const char *text, size_t len);

/** Sends further bytes, as far as they are taken at once. */
void crowd_send_some(struct crowd *c, const char *text, size_t len);

/** Reads up to a number of bytes on each connection, as far as they are there.
 */
void crowd_read_some(struct crowd *c, size_t len);

void crowd_close(struct crowd *c);

/** Fails the test unless VM 1 lives within its memory and descriptors. The
 * first is checked in builds without a sanitizer. */
void crowd_expect_bounds(const char *kind, enum crowd_door door);

/** Fails the test unless VM 1 serves a request of each kind of ordinary
 * callers, while the crowd stays or after it has left. */
void crowd_expect_served_beside(const char *kind, enum crowd_door door);
void crowd_expect_served_after(const char *kind, enum crowd_door door);

/** Makes all these checks while the crowd stays, closes it, and makes them
 * again.
 */
void crowd_expect_harmless(struct crowd *c, const char *kind,
			   enum crowd_door door);

#endif
