#ifndef PROXY_THREAD_H
#define PROXY_THREAD_H

#include <primroselead/proxy.h>

/** Makes a thread's loop, listener and client; it does not run yet. */
enum prl_code proxy_thread_init(struct proxy_thread *t, struct proxy *p,
				struct prl_error *err);

/** Ends what the thread has; called after it was joined. */
void proxy_thread_finish(struct proxy_thread *t);

#endif
