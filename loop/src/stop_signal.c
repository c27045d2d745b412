#include <primroselead/stop_signal.h>
#include <signal.h>

int stop_signal_is_pending(void)
{
	sigset_t set;

	if (sigpending(&set))
		return 0;
	return sigismember(&set, SIGTERM) || sigismember(&set, SIGINT);
}
