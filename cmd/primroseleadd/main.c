#include "control.h"
#include <apr_general.h>
#include <argtable2.h>
#include <primroselead/log.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Environment variable with the path of the settings file; the command line
 * overrides it.
 */
#define SETTINGS_VARIABLE "PRIMROSELEAD_SETTINGS"

static int usage(void **table, FILE *out)
{
	fprintf(out, "Usage: primroseleadd");
	arg_print_syntax(out, table, "\n");
	fprintf(out, "Steers traffic on one entry VM.\n");
	arg_print_glossary(out, table, "  %-22s %s\n");
	return out == stderr ? prl_code_exit_status(PRL_E_USAGE) : 0;
}

/*
 * All threads inherit the mask; the control thread receives the signals through
 * a signalfd.
 */
static void block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static enum prl_code run(const char *path, apr_pool_t *pool,
			 struct prl_error *err)
{
	static struct prl_settings settings;
	static struct control control;

	if (settings_read(path, pool, &settings, err))
		return err->code;
	log_init(settings.vm.name);
	if (control_init(&control, &settings, path, pool, err))
		return err->code;
	control_run(&control);
	control_finish(&control);
	return PRL_OK;
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0("s", "settings", "FILE", "settings file of this VM");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(4);
	void *table[] = {file, version, help, end};
	struct prl_error err = {0};
	apr_pool_t *pool;
	const char *path;
	int faults;

	/* A SIGHUP for changed settings may come as soon as the process runs.
	 */
	block_signals();
	faults = arg_parse(argc, argv, table);
	if (help->count)
		return usage(table, stdout);
	if (version->count) {
		printf("primroseleadd %s\n", PRL_VERSION);
		return 0;
	}
	path = file->count ? file->filename[0] : getenv(SETTINGS_VARIABLE);
	if (faults || !path) {
		arg_print_errors(stderr, end, "primroseleadd");
		return usage(table, stderr);
	}
	if (apr_initialize() || apr_pool_create(&pool, NULL))
		return prl_code_exit_status(PRL_E_MEMORY);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (run(path, pool, &err)) {
		fprintf(stderr, "primroseleadd: %s (%s)\n", err.text,
			prl_code_name(err.code));
		return prl_code_exit_status(err.code);
	}
	curl_global_cleanup();
	apr_pool_destroy(pool);
	apr_terminate();
	arg_freetable(table, 4);
	return 0;
}
