/* Starts the interpreter that is linked in, with this very file as the only
 * place to import from: a zip archive is appended to it. It starts no other
 * process and writes nothing. */
#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <limits.h>
#include <unistd.h>

static int fail(PyStatus status) {
  Py_ExitStatusException(status);
  return 1;
}

int main(int argc, char **argv) {
  char path[PATH_MAX];
  ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);
  if (length < 0) {
    perror("readlink");
    return 1;
  }
  path[length] = '\0';

  PyConfig config;
  PyConfig_InitIsolatedConfig(&config);
  config.write_bytecode = 0;
  config.site_import = 0;
  /* Without it a closed connection would end the process (SIGPIPE). */
  config.install_signal_handlers = 1;
  config.parse_argv = 0;
  config.module_search_paths_set = 1;

  PyStatus status = PyConfig_SetBytesArgv(&config, argc, argv);
  if (PyStatus_Exception(status)) return fail(status);
  wchar_t *wide = Py_DecodeLocale(path, NULL);
  status = PyWideStringList_Append(&config.module_search_paths, wide);
  if (PyStatus_Exception(status)) return fail(status);
  status = PyConfig_SetString(&config, &config.executable, wide);
  if (PyStatus_Exception(status)) return fail(status);
  PyMem_RawFree(wide);

  status = Py_InitializeFromConfig(&config);
  PyConfig_Clear(&config);
  if (PyStatus_Exception(status)) return fail(status);
  if (PyRun_SimpleString("import onefile_boot\nonefile_boot.main()\n") != 0) {
    return 1;
  }
  return Py_FinalizeEx() < 0 ? 120 : 0;
}
