#ifndef SYSTEM_ISOLATED_H
#define SYSTEM_ISOLATED_H

#include "routes.h"

/*
 * A further VM of the fixture of routes.h, which reaches the upstreams over
 * links that a test cuts, while callers, a store and the other VMs reach it.
 */

/** The VM that loses its links, and the port of its store, which names the
 * links as addresses of the upstreams. */
#define ISOLATED_VM 3
#define ISOLATED_STORE_PORT (PORT_BASE + 10)

/** Starts the links, the store and the VM, after routes_setup. */
void isolated_start(void);

/** Sets what the links do: "pass", "silent", "refuse" or "refuse-new". */
void isolated_set_link(const char *mode);

/** Sends requests until the VM must have found out that its links are cut. */
void isolated_press(void);

/** Cuts the links and waits until the VM has found out. */
void isolated_cut(void);

#endif
