// Package measure measures how the memory, the processor time and the messages of
// the system's parts grow with the size of a deployment. All parts run in the
// measuring process; package processes measures real processes.
//
// Each series calls a function with several sizes, such as numbers of instances or
// client accounts, and fits a line through the results. Command capacity selects
// series by name and writes them to a page with package document.
package measure
