#include "command.h"
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

int command_check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 1024, "service files");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, files, end};
	struct command c = {0};
	struct service_file *services;
	enum prl_code rc;
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Checks service files and prints every fault.", &status))
		return status;
	if (command_init(&c, NULL))
		return command_report_error(&c.err);
	services = calloc((size_t)files->count, sizeof(*services));
	if (!services)
		return prl_code_exit_status(PRL_E_MEMORY);
	rc = command_read_services(&c, files->filename, files->count, services);
	if (!rc)
		printf("%d files are valid\n", files->count);
	free(services);
	command_finish(&c);
	arg_freetable(table, 3);
	return prl_code_exit_status(rc);
}
