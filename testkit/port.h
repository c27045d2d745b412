#ifndef TESTKIT_PORT_H
#define TESTKIT_PORT_H

/** Returns a TCP port of loopback on which no process listens now; -1 if there
 * is none. */
int port_find_free(void);

#endif
