#ifndef PROXY_THREAD_H
#define PROXY_THREAD_H

#include <primroselead/proxy.h>

/** Creates a thread's tables, event loop, listeners and HTTP client without
 * starting the thread. Returns PRL_OK, PRL_E_IO or PRL_E_MEMORY. */
enum prl_code proxy_thread_init(struct proxy_thread *t, struct proxy *p,
				struct prl_error *err);

/** Closes the listeners and frees all of the thread's resources. The thread
 * must have been joined. */
void proxy_thread_finish(struct proxy_thread *t);

#endif
